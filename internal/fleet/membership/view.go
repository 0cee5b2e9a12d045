package membership

import (
	"errors"
	"hash/fnv"
	"slices"
	"strconv"
	"strings"
)

// Whole is a fleet-wide budget, in the units that shares are counted in: whole numbers add up without error.
const Whole uint64 = 1 << wholeBits

const wholeBits = 40

// MaxVoters is how many members of a view vote at most: three of seven may fail at once, and a renewal costs each
// member seven packets, however large the fleet.
const MaxVoters = 7

// Member is one relay in a view.
type Member struct {
	Name string `cbor:"1,keyasint"`
	In   bool   `cbor:"2,keyasint,omitempty"` // a member; else it has gone, and only its outstanding limit is left
	// Share is what it takes by this view; OutstandingLimit the most that it may take by any view that may still be acted on.
	BudgetShare      uint64 `cbor:"3,keyasint,omitempty"`
	OutstandingLimit uint64 `cbor:"4,keyasint,omitempty"`
	Idle             bool   `cbor:"5,keyasint,omitempty"` // it drains by hand: a member that is due no share
}

// maxShare is what the relay may take, whichever of the views it acts on.
func (s Member) maxShare() uint64 { return max(s.BudgetShare, s.OutstandingLimit) }

// View is one link of the chain of views. It is never changed once made.
type View struct {
	Epoch           uint64   `cbor:"1,keyasint"`
	BootstrapSize   int      `cbor:"2,keyasint"`           // places of view 0
	UnreleasedSlots []int    `cbor:"3,keyasint,omitempty"` // places that their relays have not handed over: each is its owner's
	Entries         []Member `cbor:"4,keyasint,omitempty"` // in the order of names
	Voters          []string `cbor:"5,keyasint"`
	// Allocation is the part of the budgets that the shares divide; nil for the whole.
	Allocation *Allocation `cbor:"6,keyasint,omitempty"`
}

// bootstrapView is view 0: places only. Its voters are named by place.
func bootstrapView(founders int) *View {
	v := &View{BootstrapSize: founders}
	for i := range founders {
		v.UnreleasedSlots = append(v.UnreleasedSlots, i)
		if i < MaxVoters {
			v.Voters = append(v.Voters, slotVoterName(i))
		}
	}
	return v
}

// slotVoterName is how a voter of view 0 is called; no relay has such a name.
func slotVoterName(place int) string { return "\x00" + strconv.Itoa(place) }

// slotShare is the share of a place.
func (v *View) slotShare() uint64 { return Whole / uint64(v.BootstrapSize) }

// Member returns a relay's entry; the zero one if it has none.
func (v *View) Member(name string) Member {
	if i, ok := v.find(name); ok {
		return v.Entries[i]
	}
	return Member{}
}

func (v *View) find(name string) (int, bool) {
	return slices.BinarySearchFunc(v.Entries, name, func(s Member, n string) int { return strings.Compare(s.Name, n) })
}

// MemberNames are the names of the view's members, in order.
func (v *View) MemberNames() (names []string) {
	for _, s := range v.Entries {
		if s.In {
			names = append(names, s.Name)
		}
	}
	return names
}

// Serving is how many members take clients.
func (v *View) Serving() (n int) {
	for _, s := range v.Entries {
		if s.In && !s.Idle {
			n++
		}
	}
	return n
}

// majority of the voters choose the next view.
func (v *View) majority() int { return len(v.Voters)/2 + 1 }

// half of the voters, rounded up, renew a lease: they and a majority have one in common, and both halves of a fleet
// that is cut in two go on with what they have.
func (v *View) half() int { return (len(v.Voters) + 1) / 2 }

// unreleasedShare is what the places' owners keep.
func (v *View) unreleasedShare() uint64 { return v.slotShare() * uint64(len(v.UnreleasedSlots)) }

// targetShare is the share that each member that serves is due.
func (v *View) targetShare() uint64 {
	return (Whole - v.unreleasedShare()) / uint64(max(v.Serving(), 1))
}

// Settled tells whether every share is at its target.
func (v *View) Settled() bool {
	if v.Epoch == 0 {
		return false
	}
	due := v.targetShare()
	for _, s := range v.Entries {
		if s.In && s.BudgetShare != due && !s.Idle || !s.In && s.OutstandingLimit > 0 {
			return false
		}
	}
	return true
}

// Hash tells two views of one epoch apart.
func (v *View) Hash() uint64 {
	h := fnv.New64a()
	put := func(s string) { h.Write([]byte(s)); h.Write([]byte{0}) }
	put(strconv.FormatUint(v.Epoch, 10))
	for _, p := range v.UnreleasedSlots {
		put(strconv.Itoa(p))
	}
	for _, s := range v.Entries {
		put(s.Name)
		put(strconv.FormatBool(s.In) + strconv.FormatUint(s.BudgetShare, 10) + " " + strconv.FormatUint(s.OutstandingLimit, 10))
	}
	for _, n := range v.Voters {
		put(n)
	}
	if a := v.Allocation; a != nil {
		for _, number := range []uint64{a.Plan, a.PlanHash, a.Near, a.Far, uint64(a.LeaseMillis)} {
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

func appendUint(b []byte, n uint64) []byte {
	if n >= 10 {
		b = appendUint(b, n/10)
	}
	return append(b, byte('0'+n%10))
}

// Check tells what of a view that came from elsewhere could not be.
func (v *View) Check() error {
	if v.Epoch == 0 || v.BootstrapSize < 1 || v.BootstrapSize > maxEntries || len(v.Voters) == 0 || len(v.Voters) > MaxVoters ||
		len(v.Entries) > maxEntries || len(v.UnreleasedSlots) > v.BootstrapSize {
		return errBadView
	}
	if !v.Allocation.valid() || v.Allocation != nil && len(v.UnreleasedSlots) > 0 {
		return errBadView
	}
	sum := v.unreleasedShare()
	for i, s := range v.Entries {
		if s.maxShare() > Whole || i > 0 && v.Entries[i-1].Name >= s.Name || s.Name == "" {
			return errBadView
		}
		if sum += s.maxShare(); sum > Whole {
			return errBadView
		}
	}
	for i, name := range v.Voters {
		if !v.Member(name).In || slices.Contains(v.Voters[:i], name) {
			return errBadView
		}
	}
	for i, p := range v.UnreleasedSlots {
		if p < 0 || p >= v.BootstrapSize || i > 0 && v.UnreleasedSlots[i-1] >= p {
			return errBadView
		}
	}
	return nil
}

// maxEntries bounds a view.
const maxEntries = 1 << 16

var errBadView = errors.New("a view that cannot be: its shares, seats or voters make no sense")
