package membership

import (
	"errors"
	"fmt"
	"hash/fnv"
	"slices"
	"strconv"
	"strings"

	"capersail/internal/fleet/cellplan"
)

// FullBudget is a whole fleet-wide budget in the units of shares. Shares are integers, so that they add up
// without rounding errors.
const FullBudget = cellplan.FullBudget

// MaxVoters is the maximum number of members of a view that vote: with seven voters three may fail at once,
// and a renewal costs each member seven packets, however large the fleet is.
const MaxVoters = 7

// ViewEntry is the entry of one relay in a view.
type ViewEntry struct {
	Name string `cbor:"1,keyasint"`
	// IsMember says that the relay is a member. Otherwise it has left the view, and only its outstanding
	// limit remains.
	IsMember bool `cbor:"2,keyasint,omitempty"`
	// BudgetShare is what the relay takes by this view; OutstandingLimit is the most that it may take by any
	// view that a relay may still act by. Both are in units of FullBudget.
	BudgetShare      uint64 `cbor:"3,keyasint,omitempty"`
	OutstandingLimit uint64 `cbor:"4,keyasint,omitempty"`
	// Draining says that the relay is drained manually: it stays a member but gets no share.
	Draining bool `cbor:"5,keyasint,omitempty"`
}

// maxShare returns the most that the relay may take, whichever of the views it acts by.
func (m ViewEntry) maxShare() uint64 { return max(m.BudgetShare, m.OutstandingLimit) }

// View is one view in the chain of views. It is never changed once it is made.
type View struct {
	Epoch         uint64 `cbor:"1,keyasint"`
	BootstrapSize int    `cbor:"2,keyasint"` // number of slots of view 0
	// UnreleasedSlots are the slots that their relays have not released. The share of such a slot belongs to
	// its relay.
	UnreleasedSlots []int       `cbor:"3,keyasint,omitempty"`
	Entries         []ViewEntry `cbor:"4,keyasint,omitempty"` // sorted by name
	Voters          []string    `cbor:"5,keyasint"`
	// Allocation is the part of the budgets that the shares divide, nil for all of FullBudget.
	Allocation *Allocation `cbor:"6,keyasint,omitempty"`
}

// bootstrapView returns view 0, which has only slots. Its voters are named by slot.
func bootstrapView(size int) *View {
	v := &View{BootstrapSize: size}
	for slot := range size {
		v.UnreleasedSlots = append(v.UnreleasedSlots, slot)
		if slot < MaxVoters {
			v.Voters = append(v.Voters, slotVoterName(slot))
		}
	}
	return v
}

// slotVoterName returns the name of a voter of view 0. No relay can have such a name.
func slotVoterName(slot int) string { return "\x00" + strconv.Itoa(slot) }

// slotShare returns the share of one slot.
func (v *View) slotShare() uint64 { return FullBudget / uint64(v.BootstrapSize) }

// fraction returns an amount in units of FullBudget as a fraction, 0 to 1.
func fraction(amount uint64) float64 { return float64(amount) / float64(FullBudget) }

// Entry returns a relay's entry, or the zero ViewEntry if the relay has none.
func (v *View) Entry(name string) ViewEntry {
	if i, ok := v.findEntry(name); ok {
		return v.Entries[i]
	}
	return ViewEntry{}
}

// findEntry returns the index of a relay's entry, or the index at which to insert it, and whether it exists.
func (v *View) findEntry(name string) (int, bool) {
	byName := func(m ViewEntry, name string) int { return strings.Compare(m.Name, name) }
	return slices.BinarySearchFunc(v.Entries, name, byName)
}

// MemberNames returns the names of the view's members, sorted.
func (v *View) MemberNames() (names []string) {
	for _, m := range v.Entries {
		if m.IsMember {
			names = append(names, m.Name)
		}
	}
	return names
}

// nonMembers returns those of some relays that are not members.
func (v *View) nonMembers(names []string) (joining []string) {
	for _, name := range names {
		if !v.Entry(name).IsMember {
			joining = append(joining, name)
		}
	}
	return joining
}

// ServingMembers returns how many members are not drained.
func (v *View) ServingMembers() (count int) {
	for _, m := range v.Entries {
		if m.IsMember && !m.Draining {
			count++
		}
	}
	return count
}

// majority returns how many voters must accept the next view for it to be chosen.
func (v *View) majority() int { return len(v.Voters)/2 + 1 }

// leaseQuorum returns how many voters must renew a lease: half of them, rounded up. Any such half has a voter
// in common with any majority, and after a partition into two equal halves both keep the shares that they
// have.
func (v *View) leaseQuorum() int { return (len(v.Voters) + 1) / 2 }

// unreleasedShare returns the sum of the shares of the unreleased slots.
func (v *View) unreleasedShare() uint64 { return v.slotShare() * uint64(len(v.UnreleasedSlots)) }

// targetShare returns the share that each serving member is to get in the end.
func (v *View) targetShare() uint64 {
	return (FullBudget - v.unreleasedShare()) / uint64(max(v.ServingMembers(), 1))
}

// Settled reports whether every share is at its target.
func (v *View) Settled() bool {
	if v.Epoch == 0 {
		return false
	}
	target := v.targetShare()
	for _, m := range v.Entries {
		if m.IsMember && m.BudgetShare != target && !m.Draining || !m.IsMember && m.OutstandingLimit > 0 {
			return false
		}
	}
	return true
}

// Hash distinguishes two views of one epoch.
func (v *View) Hash() uint64 {
	h := fnv.New64a()
	put := func(text string) {
		h.Write([]byte(text))
		h.Write([]byte{0})
	}
	put(strconv.FormatUint(v.Epoch, 10))
	for _, slot := range v.UnreleasedSlots {
		put(strconv.Itoa(slot))
	}
	for _, m := range v.Entries {
		put(m.Name)
		shares := strconv.FormatUint(m.BudgetShare, 10) + " " + strconv.FormatUint(m.OutstandingLimit, 10)
		put(strconv.FormatBool(m.IsMember) + shares)
	}
	for _, voter := range v.Voters {
		put(voter)
	}
	if a := v.Allocation; a != nil {
		for _, number := range []uint64{a.Plan, a.PlanHash, a.NearBudget, a.FarBudget,
			uint64(a.LeaseMillis)} {
			put(strconv.FormatUint(number, 10))
		}
		put(strconv.FormatBool(a.Activated))
		put(strings.Join(a.NearZones, " "))
		put(strings.Join(a.Cells, " "))
	}
	return h.Sum64()
}

// summary describes the view for the log.
func (v *View) summary() string {
	b := []byte("epoch ")
	b = appendUint(b, v.Epoch)
	b = append(b, ", members"...)
	for i, name := range v.MemberNames() {
		if i == 16 {
			return string(append(b, " ..."...))
		}
		b = append(append(b, ' '), name...)
	}
	return string(b)
}

// appendUint appends a number in decimal digits.
func appendUint(b []byte, n uint64) []byte {
	if n >= 10 {
		b = appendUint(b, n/10)
	}
	return append(b, byte('0'+n%10))
}

// maxEntries bounds the entries and the slots of a view that another relay has sent.
const maxEntries = 1 << 16

// ErrInvalidView is the error of Check for a view that no relay can have made.
var ErrInvalidView = errors.New("invalid view")

// Check returns an ErrInvalidView with the reason if a view that another relay has sent cannot be valid.
func (v *View) Check() error {
	if reason := v.invalidReason(); reason != "" {
		return fmt.Errorf("%w: %s", ErrInvalidView, reason)
	}
	return nil
}

// invalidReason returns what is wrong with a view, "" if nothing is.
func (v *View) invalidReason() string {
	switch {
	case v.Epoch == 0:
		return "the epoch is 0"
	case v.BootstrapSize < 1 || v.BootstrapSize > maxEntries:
		return "the bootstrap size is out of bounds"
	case len(v.Entries) > maxEntries:
		return "too many entries"
	case !v.Allocation.isValid():
		return "invalid allocation"
	case v.Allocation != nil && len(v.UnreleasedSlots) > 0:
		return "an allocation and unreleased slots exclude each other"
	case !v.validSlots():
		return "invalid unreleased slots"
	case !v.validEntries():
		return "invalid entries, or shares that add up to more than the full budget"
	case !v.validVoters():
		return "invalid voters"
	}
	return ""
}

// validSlots reports whether the unreleased slots are slots of view 0, sorted and without duplicates.
func (v *View) validSlots() bool {
	for i, slot := range v.UnreleasedSlots {
		if slot < 0 || slot >= v.BootstrapSize || i > 0 && v.UnreleasedSlots[i-1] >= slot {
			return false
		}
	}
	return true
}

// validEntries reports whether the entries are sorted, and what all relays may take is within FullBudget.
func (v *View) validEntries() bool {
	sum := v.unreleasedShare()
	for i, m := range v.Entries {
		if m.Name == "" || i > 0 && v.Entries[i-1].Name >= m.Name || m.maxShare() > FullBudget {
			return false
		}
		if sum += m.maxShare(); sum > FullBudget {
			return false
		}
	}
	return true
}

// validVoters reports whether the voters are members, without duplicates, and not too many.
func (v *View) validVoters() bool {
	if len(v.Voters) == 0 || len(v.Voters) > MaxVoters {
		return false
	}
	for i, name := range v.Voters {
		if !v.Entry(name).IsMember || slices.Contains(v.Voters[:i], name) {
			return false
		}
	}
	return true
}
