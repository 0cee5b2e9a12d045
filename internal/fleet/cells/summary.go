package cells

import (
	"errors"
	"net/netip"
	"slices"
	"strings"

	"capersail/internal/fleet/cellplan"
)

// Limits of messages received from other relays.
const (
	MaxContacts      = 3   // per summary
	MaxDeparted      = 8   // names per summary
	MaxRegions       = 16  // rows per directory; the last row sums all further regions
	maxNameBytes     = 100 // of a relay's name
	maxDepartedBytes = 144 // of all departed names, which keeps a summary within 400 bytes
	maxRelays        = 1 << 16
	maxConnections   = 1 << 40
	maxRate          = 1e9 // requests or connections per second
)

// Summary is what a representative tells other cells about its own cell. Decoders skip fields that they do
// not know.
type Summary struct {
	Cell            string   `cbor:"1,keyasint"`
	Region          string   `cbor:"2,keyasint,omitempty"`
	Representative  string   `cbor:"3,keyasint"`
	Incarnation     uint64   `cbor:"4,keyasint"` // of the representative
	Seq             uint64   `cbor:"5,keyasint"` // rises with each summary of an incarnation
	Epoch           uint64   `cbor:"6,keyasint,omitempty"`
	Plan            uint64   `cbor:"7,keyasint,omitempty"` // number of the plan in the cell's view
	PlanHash        uint64   `cbor:"8,keyasint,omitempty"` // hash of that plan's contents
	JoinedPlan      uint64   `cbor:"9,keyasint,omitempty"` // no relay of the cell acts by an earlier plan
	Members         int      `cbor:"10,keyasint,omitempty"`
	ServingMembers  int      `cbor:"11,keyasint,omitempty"`
	RequestRate     float64  `cbor:"12,keyasint,omitempty"`
	OpenConnections int      `cbor:"13,keyasint,omitempty"`
	DrainRate       float64  `cbor:"14,keyasint,omitempty"`
	Contacts        []string `cbor:"15,keyasint,omitempty"` // the representative first
	DepartedRelays  []string `cbor:"16,keyasint,omitempty"` // relays that left the cell in the last 20 s
	// Forwarded is set by a relay that is not the representative when it forwards the summary to the
	// representative. A forwarded summary is not forwarded again.
	Forwarded    bool `cbor:"17,keyasint,omitempty"`
	Bootstrapped bool `cbor:"18,keyasint,omitempty"` // the cell started with Plan and joined no earlier plan
}

// Directory is what a representative tells the relays of its cell about all other cells.
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

// RegionTotals are sums over the other cells of a region. A cell that is unknown counts with its last
// figures.
type RegionTotals struct {
	Name            string  `cbor:"1,keyasint,omitempty" json:"region"` // "" for cells that span all regions
	Cells           int     `cbor:"2,keyasint,omitempty" json:"cells"`
	KnownCells      int     `cbor:"3,keyasint,omitempty" json:"heard"` // cells with a recent summary
	Relays          int     `cbor:"4,keyasint,omitempty" json:"relays"`
	ServingRelays   int     `cbor:"5,keyasint,omitempty" json:"serving"`
	RequestRate     float64 `cbor:"6,keyasint,omitempty" json:"per_s"`
	OpenConnections int     `cbor:"7,keyasint,omitempty" json:"held"`
	DrainRate       float64 `cbor:"8,keyasint,omitempty" json:"sent_per_s"`
}

// Errors of Check for a summary or directory that no correct relay sends.
var (
	ErrInvalidSummary   = errors.New("invalid summary: a name, number or address is missing or out of range")
	ErrInvalidDirectory = errors.New(
		"invalid directory: a name or number is missing or out of range, or regions are out of order")
)

// Check reports whether a received summary is within the limits. The error is ErrInvalidSummary.
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

// Check reports whether a received directory is within the limits. The error is ErrInvalidDirectory.
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
		if !r.isValid() || !inOrder {
			return ErrInvalidDirectory
		}
		cells += r.Cells
	}
	if cells > maxCells {
		return ErrInvalidDirectory
	}
	return nil
}

// isValid reports whether a region's row is within the limits.
func (r RegionTotals) isValid() bool {
	return (r.Name == "" || validCellName(r.Name)) &&
		r.KnownCells >= 0 && r.KnownCells <= r.Cells && r.Cells <= maxCells &&
		validTotals(r.Relays, r.ServingRelays, r.OpenConnections, r.RequestRate, r.DrainRate)
}

// validTotals reports whether the figures of a cell or region are within the limits.
func validTotals(relays, serving, openConnections int, requestRate, drainRate float64) bool {
	return relays >= 0 && relays <= maxRelays*maxCells && serving >= 0 && serving <= relays &&
		openConnections >= 0 && openConnections <= maxConnections &&
		validRate(requestRate) && validRate(drainRate)
}

// validRate reports whether a rate is within the limits. It is false for NaN.
func validRate(rate float64) bool { return rate >= 0 && rate < maxRate }

func validCellName(name string) bool { return len(name) <= cellplan.MaxNameBytes && validName(name) }

// validName reports whether a name is printable and short enough for the packets.
func validName(name string) bool {
	unprintable := func(r rune) bool { return r < ' ' || r == 0x7f || r == 0xfffd }
	return name != "" && len(name) <= maxNameBytes && !strings.ContainsFunc(name, unprintable)
}

// validAddress reports whether packets can be sent to an address.
func validAddress(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Port() == 0 || parsed.Addr().Zone() != "" {
		return false
	}
	return !parsed.Addr().IsUnspecified() && !parsed.Addr().IsMulticast()
}
