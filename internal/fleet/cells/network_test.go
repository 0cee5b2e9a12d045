package cells

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"capersail/internal/fleet/cellplan"
	"capersail/internal/fleet/duration"
	"capersail/internal/testing/trace"
)

const second = time.Second

// network simulates cells on a simulated clock. Packets between relays are delayed, lost and duplicated, and
// therefore reordered, and are blocked where a test says so.
type network struct {
	t             *testing.T
	now           time.Duration
	events        events
	order         int
	rng           *rand.Rand
	lossRate      float64
	duplicateRate float64
	isCut         func(from, to *relay) bool // reports whether packets are blocked; nil for none
	cells         []*simulatedCell
	byName        map[string]*relay
	byAddress     map[string]*relay
	plan          cellplan.Plan
	changes       map[ChangeKind]int
	afterEvent    func() // called after each event unless nil
	sizes         struct{ summary, directory int }
	trace         *trace.Trace // of all actions, or nil
}

// simulatedCell is a cell and the state of its view.
type simulatedCell struct {
	name          string
	region        string
	relays        []*relay
	padding       int // members that are not simulated
	epoch         uint64
	plan          uint64
	hash          uint64
	joinedPlan    uint64
	requiredCells []string // of the view's Allocation

	sent, published []time.Duration // when its relays sent summaries, and directories
}

type relay struct {
	cell          *simulatedCell
	name          string
	address       string
	incarnation   uint64
	running       bool
	coordinator   *Coordinator
	wakeAt        time.Duration
	believesAlive func(r *relay) bool
}

type event struct {
	at    time.Duration
	order int
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// newFleet returns a network of cells. The regions have the given numbers of zones, each zone has perZone
// cells, and each cell has the given number of simulated relays.
func newFleet(t *testing.T, seed uint64, zones []int, perZone, relays int) *network {
	n := &network{t: t, rng: rand.New(rand.NewPCG(seed, 1)), byName: map[string]*relay{},
		byAddress: map[string]*relay{}, changes: map[ChangeKind]int{}}
	n.plan.Number = 1
	for region, count := range zones {
		for zone := range count {
			for i := range perZone {
				n.addCell(region, zone, i, relays)
			}
		}
	}
	if err := n.plan.Check(); err != nil {
		t.Fatal(err)
	}
	for _, g := range n.cells {
		g.plan, g.joinedPlan, g.hash, g.requiredCells = 1, 1, n.plan.Hash(), n.plan.CellNames()
		for _, r := range g.relays {
			n.start(r)
		}
		n.updateCell(g)
	}
	n.every(second, func() {
		for _, g := range n.cells {
			n.updateCell(g)
		}
	})
	return n
}

func (n *network) addCell(region, zone, i, relays int) {
	g := &simulatedCell{region: fmt.Sprintf("region-%d", region), epoch: 3, padding: 32 - relays}
	g.name = fmt.Sprintf("region-%d-%c-%d", region, 'a'+zone, i)
	cell := cellplan.Cell{Name: g.name, Region: g.region, Zone: fmt.Sprintf("region-%d-%c", region, 'a'+zone),
		Relays: 32}
	for j := range relays {
		address := fmt.Sprintf("10.%d.%d.%d:7946", len(n.cells), zone, j+1)
		r := &relay{cell: g, name: fmt.Sprintf("%s-relay-%02d", g.name, j), address: address,
			believesAlive: func(r *relay) bool { return r.running }}
		g.relays = append(g.relays, r)
		n.byName[r.name], n.byAddress[address] = r, r
		cell.Contacts = append(cell.Contacts, address)
	}
	n.cells = append(n.cells, g)
	n.plan.Cells = append(n.plan.Cells, cell)
}

// start starts a new process of a relay.
func (n *network) start(r *relay) {
	r.incarnation++
	r.running, r.wakeAt = true, -1
	r.coordinator = New(n.now, Config{Name: r.name, Cell: r.cell.name, Incarnation: r.incarnation,
		Plan: n.plan, Seed: n.rng.Uint64()})
}

func (n *network) after(delay time.Duration, do func()) {
	n.order++
	heap.Push(&n.events, event{n.now + delay, n.order, do})
}

func (n *network) every(period time.Duration, do func()) {
	n.after(period, func() {
		do()
		n.every(period, do)
	})
}

// advance advances the simulated time.
func (n *network) advance(span time.Duration) { n.advanceUntil(span, func() bool { return false }) }

// advanceUntil advances the simulated time until a condition holds and returns how long that took, or
// duration.DistantFuture if it did not hold within the limit. It checks the condition every tenth of a
// second.
func (n *network) advanceUntil(limit time.Duration, holds func() bool) time.Duration {
	from := n.now
	nextCheck := n.now
	for len(n.events) > 0 && n.events[0].at <= from+limit {
		e := heap.Pop(&n.events).(event)
		n.now = e.at
		e.do()
		if n.afterEvent != nil {
			n.afterEvent()
		}
		if n.now < nextCheck {
			continue
		}
		nextCheck = n.now + second/10
		if holds() {
			return n.now - from
		}
	}
	n.now = from + limit
	return duration.DistantFuture
}

// local returns what a relay knows of its cell.
func (n *network) local(r *relay) LocalCell {
	g := r.cell
	l := LocalCell{Members: g.members(), ServingMembers: g.members(), Epoch: g.epoch,
		Plan: g.plan, PlanHash: g.hash, RequiredCells: g.requiredCells, JoinedPlan: g.joinedPlan,
		RequestRate: 100 * float64(g.members()), OpenConnections: 1000 * g.members()}
	for _, other := range g.relays {
		l.Voters = append(l.Voters, Voter{Name: other.name, Address: other.address,
			Alive: r.believesAlive(other)})
	}
	return l
}

func (g *simulatedCell) members() (count int) {
	for _, r := range g.relays {
		if r.running {
			count++
		}
	}
	return count + g.padding
}

func (g *simulatedCell) representative() *relay {
	for _, r := range g.relays {
		if r.running {
			return r
		}
	}
	return nil
}

// updateCell sends the state of a cell to its relays.
func (n *network) updateCell(g *simulatedCell) {
	for _, r := range g.relays {
		n.handle(r, n.local(r))
	}
}

func (n *network) handle(r *relay, ev Event) {
	if !r.running {
		return
	}
	for _, a := range r.coordinator.Handle(n.now, ev, nil) {
		n.execute(r, a)
	}
	next := r.coordinator.NextTickAt()
	if next == duration.DistantFuture {
		return
	}
	incarnation, wake := r.incarnation, max(next, n.now)
	if wake == r.wakeAt {
		return // the tick is already scheduled
	}
	r.wakeAt = wake
	n.after(wake-n.now, func() {
		if r.wakeAt == wake && r.incarnation == incarnation {
			n.handle(r, Tick{})
		}
	})
}

func (n *network) execute(r *relay, a Action) {
	record(n.trace, r, a)
	switch a := a.(type) {
	case SendSummary:
		r.cell.sent = append(r.cell.sent, n.now)
		n.sizes.summary = max(n.sizes.summary, encodedSize(n.t, a.Summary))
		n.packet(r, n.byAddress[a.Address], SummaryReceived{From: r.name, Summary: a.Summary})
	case ForwardSummary:
		n.packet(r, n.byName[a.To], SummaryReceived{From: r.name, Summary: a.Summary})
	case PublishDirectory:
		r.cell.published = append(r.cell.published, n.now)
		n.sizes.directory = max(n.sizes.directory, encodedSize(n.t, a.Directory))
		for _, other := range r.cell.relays {
			if other != r { // gossip sends it several times, so that losses are rare
				n.after(100*time.Millisecond+duration.Scale(400*time.Millisecond, n.rng.Float64()),
					func() { n.handle(other, DirectoryReceived{From: r.name, Directory: a.Directory}) })
			}
		}
	case CellChanged:
		n.changes[a.Kind]++
	}
}

// packet delivers an event from one relay to another, with delay, loss and duplication.
func (n *network) packet(from, to *relay, ev Event) {
	if to == nil {
		n.t.Fatal("packet to an unknown relay or address")
	}
	copies := 1
	if n.rng.Float64() < n.duplicateRate {
		copies = 2
	}
	for range copies {
		if n.rng.Float64() < n.lossRate || n.isCut != nil && n.isCut(from, to) {
			continue
		}
		n.after(10*time.Millisecond+duration.Scale(140*time.Millisecond, n.rng.Float64()),
			func() { n.handle(to, ev) })
	}
}

// kill stops a relay and removes it from its cell's view.
func (n *network) kill(r *relay) {
	r.running = false
	r.cell.epoch++
	n.updateCell(r.cell)
}

// knownEverywhere reports whether every relay of the other cells has a directory with the correct number of
// relays in a cell's region.
func (n *network) knownEverywhere(g *simulatedCell) bool {
	for _, other := range n.cells {
		if other == g {
			continue
		}
		want := 0
		for _, in := range n.cells {
			if in != other && in.region == g.region {
				want += in.members()
			}
		}
		for _, r := range other.relays {
			holds := func(row RegionTotals) bool { return row.Name == g.region && row.Relays == want }
			if r.running && !slices.ContainsFunc(r.coordinator.directory.newest.Regions, holds) {
				return false
			}
		}
	}
	return true
}

// converged reports whether every relay has a correct directory.
func (n *network) converged() bool {
	for _, g := range n.cells {
		for _, r := range g.relays {
			if r.running && !n.hasTrueDirectory(r) {
				return false
			}
		}
	}
	return true
}

// hasTrueDirectory reports whether a relay's directory has all other cells as known, with their correct
// numbers of relays.
func (n *network) hasTrueDirectory(r *relay) bool {
	var want []RegionTotals
	for _, g := range n.cells {
		i := slices.IndexFunc(want, func(row RegionTotals) bool { return row.Name == g.region })
		if i < 0 {
			want = append(want, RegionTotals{Name: g.region})
			i = len(want) - 1
		}
		if g != r.cell {
			want[i].add(RegionTotals{Cells: 1, KnownCells: 1, Relays: g.members(),
				ServingRelays: g.members()})
		}
	}
	rows := r.coordinator.directory.newest.Regions
	want = slices.DeleteFunc(want, func(row RegionTotals) bool { return row.Cells == 0 })
	return slices.EqualFunc(want, rows, func(a, b RegionTotals) bool {
		return a.Name == b.Name && a.Cells == b.Cells && a.KnownCells == b.KnownCells &&
			a.Relays == b.Relays && a.ServingRelays == b.ServingRelays
	})
}

// maxPerSecond returns the maximum number of events in any second of a span.
func maxPerSecond(times []time.Duration, from, to time.Duration) (most int) {
	for i, t := range times {
		if t < from || t >= to {
			continue
		}
		count := 0
		for _, later := range times[i:] {
			if later < t+second && later < to {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// countBetween returns the number of events in a span.
func countBetween(times []time.Duration, from, to time.Duration) (count int) {
	for _, t := range times {
		if t >= from && t < to {
			count++
		}
	}
	return count
}

// encodedSize returns the size of a message in CBOR.
func encodedSize(t *testing.T, v any) int {
	text, err := cbor.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return len(text)
}

// largeLayout is the fleet size that the package is designed for: 34 cells in 5 regions and 17 zones.
var largeLayout = []int{4, 4, 3, 3, 3}
