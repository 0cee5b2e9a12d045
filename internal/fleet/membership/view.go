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

// FullBudget is a fleet-wide budget, in the units that shares are counted in: integers add up
// without error.
const FullBudget = cellplan.FullBudget

// MaxVoters is how many members of a view vote at most: three of seven may fail at once, and a renewal
// costs each member seven packets, however large the fleet.
const MaxVoters = 7

// ViewEntry is one relay in a view.
type ViewEntry struct {
	Name string `cbor:"1,keyasint"`
	// IsMember says that it is a member; else it has gone, and only its outstanding limit is left.
	IsMember bool `cbor:"2,keyasint,omitempty"`
	// BudgetShare is what it takes by this view, OutstandingLimit the most that it may take by any view
	// that may still be acted on; both of FullBudget.
	BudgetShare      uint64 `cbor:"3,keyasint,omitempty"`
	OutstandingLimit uint64 `cbor:"4,keyasint,omitempty"`
	// Draining says that it is drained manually: a member that is due no share.
	Draining bool `cbor:"5,keyasint,omitempty"`
}

// maxShare is what the relay may take, whichever of the views it acts on.
func (m ViewEntry) maxShare() uint64 { return max(m.BudgetShare, m.OutstandingLimit) }

// View is one link of the chain of views. It is never changed once made.
type View struct {
	Epoch         uint64 `cbor:"1,keyasint"`
	BootstrapSize int    `cbor:"2,keyasint"` // slots of view 0
	// UnreleasedSlots are the slots that their relays have not released: the share of each is its owner's.
	UnreleasedSlots []int       `cbor:"3,keyasint,omitempty"`
	Entries         []ViewEntry `cbor:"4,keyasint,omitempty"` // in the order of names
	Voters          []string    `cbor:"5,keyasint"`
	// Allocation is the part of the budgets that the shares divide; nil for all of FullBudget.
	Allocation *Allocation `cbor:"6,keyasint,omitempty"`
}

// bootstrapView is view 0: slots only. Its voters are named by slot.
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

// slotVoterName is how a voter of view 0 is called; no relay has such a name.
func slotVoterName(slot int) string { return "\x00" + strconv.Itoa(slot) }

// slotShare is the share of a slot.
func (v *View) slotShare() uint64 { return FullBudget / uint64(v.BootstrapSize) }

// fraction is an amount in units of FullBudget as a part of it, 0 to 1.
func fraction(amount uint64) float64 { return float64(amount) / float64(FullBudget) }

// Entry returns a relay's entry; the zero one if it has none.
func (v *View) Entry(name string) ViewEntry {
	if i, ok := v.find(name); ok {
		return v.Entries[i]
	}
	return ViewEntry{}
}

// find is where a relay's entry is, or would be.
func (v *View) find(name string) (int, bool) {
	byName := func(m ViewEntry, name string) int { return strings.Compare(m.Name, name) }
	return slices.BinarySearchFunc(v.Entries, name, byName)
}

// MemberNames are the names of the view's members, in order.
func (v *View) MemberNames() (names []string) {
	for _, s := range v.Entries {
		if s.IsMember {
			names = append(names, s.Name)
		}
	}
	return names
}

// joining are those of some relays that are no members.
func (v *View) joining(names []string) (joining []string) {
	for _, name := range names {
		if !v.Entry(name).IsMember {
			joining = append(joining, name)
		}
	}
	return joining
}

// ServingMembers is how many members take clients.
func (v *View) ServingMembers() (n int) {
	for _, s := range v.Entries {
		if s.IsMember && !s.Draining {
			n++
		}
	}
	return n
}

// majority of the voters choose the next view.
func (v *View) majority() int { return len(v.Voters)/2 + 1 }

// half of the voters, rounded up, renew a lease: they and a majority have one in common, and both halves
// of a fleet that is cut in two go on with what they have.
func (v *View) half() int { return (len(v.Voters) + 1) / 2 }

// unreleasedShare is what the owners of unreleased slots keep.
func (v *View) unreleasedShare() uint64 { return v.slotShare() * uint64(len(v.UnreleasedSlots)) }

// targetShare is the share that each member that serves is due.
func (v *View) targetShare() uint64 {
	return (FullBudget - v.unreleasedShare()) / uint64(max(v.ServingMembers(), 1))
}

// Settled tells whether every share is at its target.
func (v *View) Settled() bool {
	if v.Epoch == 0 {
		return false
	}
	due := v.targetShare()
	for _, s := range v.Entries {
		if s.IsMember && s.BudgetShare != due && !s.Draining || !s.IsMember && s.OutstandingLimit > 0 {
			return false
		}
	}
	return true
}

// Hash tells two views of one epoch apart.
func (v *View) Hash() uint64 {
	h := fnv.New64a()
	put := func(s string) {
		h.Write([]byte(s))
		h.Write([]byte{0})
	}
	put(strconv.FormatUint(v.Epoch, 10))
	for _, p := range v.UnreleasedSlots {
		put(strconv.Itoa(p))
	}
	for _, s := range v.Entries {
		put(s.Name)
		shares := strconv.FormatUint(s.BudgetShare, 10) + " " + strconv.FormatUint(s.OutstandingLimit, 10)
		put(strconv.FormatBool(s.IsMember) + shares)
	}
	for _, n := range v.Voters {
		put(n)
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

// summary is a view in a few words.
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

// appendUint appends a number's digits.
func appendUint(b []byte, n uint64) []byte {
	if n >= 10 {
		b = appendUint(b, n/10)
	}
	return append(b, byte('0'+n%10))
}

// maxEntries bounds a view that comes from elsewhere.
const maxEntries = 1 << 16

// ErrInvalidView is what Check finds of a view that no relay can have made.
var ErrInvalidView = errors.New("invalid view")

// Check tells what of a view that came from elsewhere could not be: an ErrInvalidView with its reason.
func (v *View) Check() error {
	if reason := v.problem(); reason != "" {
		return fmt.Errorf("%w: %s", ErrInvalidView, reason)
	}
	return nil
}

// problem is what is wrong with a view, "" if nothing is.
func (v *View) problem() string {
	switch {
	case v.Epoch == 0:
		return "no epoch"
	case v.BootstrapSize < 1 || v.BootstrapSize > maxEntries:
		return "bootstrap size out of bounds"
	case len(v.Entries) > maxEntries:
		return "too many entries"
	case !v.Allocation.valid():
		return "invalid allocation"
	case v.Allocation != nil && len(v.UnreleasedSlots) > 0:
		return "an allocation beside unreleased slots"
	case !v.validSlots():
		return "invalid unreleased slots"
	case !v.validEntries():
		return "invalid entries, or shares over the full budget"
	case !v.validVoters():
		return "invalid voters"
	}
	return ""
}

// validSlots tells whether the unreleased slots are of view 0, in order, none twice.
func (v *View) validSlots() bool {
	for i, slot := range v.UnreleasedSlots {
		if slot < 0 || slot >= v.BootstrapSize || i > 0 && v.UnreleasedSlots[i-1] >= slot {
			return false
		}
	}
	return true
}

// validEntries tells whether the entries are in order, and what all relays may take is within FullBudget.
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

// validVoters tells whether the voters are members, none twice, and not too many.
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
