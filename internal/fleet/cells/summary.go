package cells

import (
	"errors"
	"net/netip"
	"slices"
	"strings"

	"capersail/internal/fleet/cellplan"
)

// Bounds of what comes from elsewhere.
const (
	MaxContacts      = 3   // of a summary
	MaxDeparted      = 8   // names in a summary
	MaxRegions       = 16  // rows of a directory; further regions are summed in the last
	maxNameBytes     = 100 // bytes of a relay's name
	maxDepartedBytes = 144 // of all names in a summary, so that it stays within 400 bytes
	maxRelays        = 1 << 16
	maxConnections   = 1 << 40
	maxRate          = 1e9 // requests or connections a second
)

// Summary is what a representative tells other cells of its own. Fields that a reader doesn't know are
// skipped.
type Summary struct {
	Cell            string   `cbor:"1,keyasint"`
	Region          string   `cbor:"2,keyasint,omitempty"`
	Representative  string   `cbor:"3,keyasint"`
	Incarnation     uint64   `cbor:"4,keyasint"` // of the representative
	Seq             uint64   `cbor:"5,keyasint"` // rises with each summary of an incarnation
	Epoch           uint64   `cbor:"6,keyasint,omitempty"`
	Plan            uint64   `cbor:"7,keyasint,omitempty"` // of the cell's view
	PlanHash        uint64   `cbor:"8,keyasint,omitempty"` // of that plan's table
	JoinedPlan      uint64   `cbor:"9,keyasint,omitempty"` // nobody in the cell acts by an earlier plan
	Members         int      `cbor:"10,keyasint,omitempty"`
	ServingMembers  int      `cbor:"11,keyasint,omitempty"`
	RequestRate     float64  `cbor:"12,keyasint,omitempty"`
	OpenConnections int      `cbor:"13,keyasint,omitempty"`
	DrainRate       float64  `cbor:"14,keyasint,omitempty"`
	Contacts        []string `cbor:"15,keyasint,omitempty"` // the representative first
	DepartedRelays  []string `cbor:"16,keyasint,omitempty"` // relays that went in the last 20 s
	// Forwarded says that a relay that is no representative has sent it on to the one that is; never twice.
	Forwarded    bool `cbor:"17,keyasint,omitempty"`
	Bootstrapped bool `cbor:"18,keyasint,omitempty"` // by Plan: the cell has come from no earlier one
}

// Directory is what a representative tells its own cell of all others.
type Directory struct {
	Cell           string `cbor:"1,keyasint"`
	Representative string `cbor:"2,keyasint"`
	Incarnation    uint64 `cbor:"3,keyasint"`
	Seq            uint64 `cbor:"4,keyasint"`
	Epoch          uint64 `cbor:"5,keyasint,omitempty"`
	// ActivatedPlan is the newest plan that every cell is known to have joined.
	ActivatedPlan uint64         `cbor:"6,keyasint,omitempty"`
	Regions       []RegionTotals `cbor:"7,keyasint,omitempty"` // without this cell's own figures
}

// RegionTotals are sums over the other cells of a region; those of a cell that is unknown are its last.
type RegionTotals struct {
	Name            string  `cbor:"1,keyasint,omitempty" json:"region"` // "" for cells that span all
	Cells           int     `cbor:"2,keyasint,omitempty" json:"cells"`
	KnownCells      int     `cbor:"3,keyasint,omitempty" json:"heard"` // of them, lately
	Relays          int     `cbor:"4,keyasint,omitempty" json:"relays"`
	ServingRelays   int     `cbor:"5,keyasint,omitempty" json:"serving"`
	RequestRate     float64 `cbor:"6,keyasint,omitempty" json:"per_s"`
	OpenConnections int     `cbor:"7,keyasint,omitempty" json:"held"`
	DrainRate       float64 `cbor:"8,keyasint,omitempty" json:"sent_per_s"`
}

// What Check finds of a summary or a directory that nobody can have sent.
var (
	ErrInvalidSummary   = errors.New("invalid summary: its names, sizes or numbers cannot be")
	ErrInvalidDirectory = errors.New("invalid directory: its names, sizes or numbers cannot be")
)

// Check tells whether a summary that came from elsewhere could be true; if not it returns ErrInvalidSummary.
func (s Summary) Check() error {
	invalidAddress := func(address string) bool { return !validAddress(address) }
	invalidName := func(name string) bool { return !validName(name) }
	switch {
	case !validCellName(s.Cell) || s.Region != "" && !validCellName(s.Region),
		!validName(s.Representative) || s.Incarnation == 0 || s.Seq == 0,
		s.Plan > cellplan.MaxPlanNumber || s.JoinedPlan > s.Plan,
		!validTotals(s.Members, s.ServingMembers, s.OpenConnections, s.RequestRate, s.DrainRate),
		len(s.Contacts) > MaxContacts || slices.ContainsFunc(s.Contacts, invalidAddress),
		len(s.DepartedRelays) > MaxDeparted || slices.ContainsFunc(s.DepartedRelays, invalidName):
		return ErrInvalidSummary
	}
	return nil
}

// Check tells whether a directory that came from elsewhere could be true; if not it returns
// ErrInvalidDirectory.
func (d Directory) Check() error {
	switch {
	case !validCellName(d.Cell),
		!validName(d.Representative) || d.Incarnation == 0 || d.Seq == 0,
		d.ActivatedPlan > cellplan.MaxPlanNumber,
		len(d.Regions) > MaxRegions:
		return ErrInvalidDirectory
	}
	cells := 0
	for i, r := range d.Regions {
		inOrder := i == 0 || d.Regions[i-1].Name < r.Name || r.Name == otherRegions
		if !r.valid() || !inOrder {
			return ErrInvalidDirectory
		}
		cells += r.Cells
	}
	if cells > maxCells {
		return ErrInvalidDirectory
	}
	return nil
}

// valid tells whether a region's row could be true by itself.
func (r RegionTotals) valid() bool {
	return (r.Name == "" || validCellName(r.Name)) &&
		r.KnownCells >= 0 && r.KnownCells <= r.Cells && r.Cells <= maxCells &&
		validTotals(r.Relays, r.ServingRelays, r.OpenConnections, r.RequestRate, r.DrainRate)
}

// validTotals tells whether a cell's or region's figures could be true.
func validTotals(relays, serving, openConnections int, requestRate, drainRate float64) bool {
	return relays >= 0 && relays <= maxRelays*maxCells && serving >= 0 && serving <= relays &&
		openConnections >= 0 && openConnections <= maxConnections &&
		validRate(requestRate) && validRate(drainRate)
}

// validRate is false for what is no number, too.
func validRate(rate float64) bool { return rate >= 0 && rate < maxRate }

func validCellName(name string) bool { return len(name) <= cellplan.MaxNameBytes && validName(name) }

// validName tells whether a relay may have a name: it prints, and has a length that packets have room for.
func validName(name string) bool {
	unprintable := func(r rune) bool { return r < ' ' || r == 0x7f || r == 0xfffd }
	return name != "" && len(name) <= maxNameBytes && !strings.ContainsFunc(name, unprintable)
}

// validAddress tells whether packets can be sent to an address.
func validAddress(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Port() == 0 || parsed.Addr().Zone() != "" {
		return false
	}
	return !parsed.Addr().IsUnspecified() && !parsed.Addr().IsMulticast()
}
