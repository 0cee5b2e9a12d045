package gossip

import (
	"errors"
	"math"

	"github.com/fxamacker/cbor/v2"

	"capersail/internal/fleet/subset"
)

const (
	wordsRoom = 64 // batches that wait to be sent; more are dropped, as newer ones follow
	mostWords = 20 // readings in one packet: up to 45 bytes each, and the names of their origins
)

// word is readings, or rows of placements, on their way to a peer.
type word struct {
	to       string
	readings []subset.Reading
	rows     []subset.Placed
}

// wireWord is a packet of readings. Origins are named once, and readings point at them.
type wireWord struct {
	_        struct{} `cbor:",toarray"`
	Names    []string
	Readings []wireReading
}

// wireReading is one reading: times in whole ms, figures in thousandths, negative for one that did not come.
type wireReading struct {
	_                            struct{} `cbor:",toarray"`
	Spot                         uint64
	Started                      int64
	By                           int
	Life                         uint64
	At                           int64
	Age                          int64
	Load, Inflight, Errors, Busy int64
}

// wirePlaced is a packet of placements.
type wirePlaced struct {
	_     struct{} `cbor:",toarray"`
	Names []string
	Rows  []wireRow
}

type wireRow struct {
	_    struct{} `cbor:",toarray"`
	Spot uint64
	By   int
	Life uint64
	Seq  uint64
	N    int
	Age  int64
}

// Party is who takes part in looking at servers by turns: the members of the view held, with the zones that they tell.
func (n *Node) Party() (relays []subset.Relay, life uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	v := n.keeper.View()
	if v.Epoch == 0 || !v.Seat(n.cfg.Name).In {
		return nil, n.keeper.Incarnation()
	}
	zones := map[string]string{n.cfg.Name: n.cfg.Zone}
	for _, p := range n.keeper.Peers() {
		if p.Name != n.cfg.Name {
			zones[p.Name] = p.Digest.Zone
		}
	}
	for _, name := range v.Members() {
		relays = append(relays, subset.Relay{Name: name, Zone: zones[name]})
	}
	return relays, n.keeper.Incarnation()
}

// Spread passes readings on to a peer, when Run comes to it.
func (n *Node) Spread(to string, readings []subset.Reading) {
	n.spread(word{to: to, readings: readings})
}

// SpreadPlaced passes placements on to a peer, when Run comes to it.
func (n *Node) SpreadPlaced(to string, rows []subset.Placed) { n.spread(word{to: to, rows: rows}) }

func (n *Node) spread(w word) {
	select {
	case n.words <- w:
	default:
		n.drops.count(overrun, "")
	}
}

// say sends readings and placements, in packets of a size.
func (n *Node) say(w word) {
	if len(w.rows) > 0 {
		n.sendTo(w.to, kindPlaced, writePlaced(w.rows))
	}
	for len(w.readings) > 0 {
		some := w.readings[:min(len(w.readings), mostWords)]
		w.readings = w.readings[len(some):]
		some = n.lie(some)
		n.sendTo(w.to, kindWord, writeWord(some))
	}
}

// milli is a figure in thousandths, -1 for none.
func milli(x float64) int64 {
	if x < 0 || math.IsNaN(x) {
		return -1
	}
	return int64(math.Round(min(x, 1e9) * 1000))
}

// names gives each name a number.
type names struct {
	list []string
	at   map[string]int
}

func (n *names) of(name string) int {
	by, known := n.at[name]
	if !known {
		by = len(n.list)
		if n.at == nil {
			n.at = map[string]int{}
		}
		n.at[name] = by
		n.list = append(n.list, name)
	}
	return by
}

// origin is the name that a number in a packet stands for.
func origin(list []string, by int) (string, error) {
	if by < 0 || by >= len(list) || !GoodName(list[by]) {
		return "", errWord
	}
	return list[by], nil
}

// readTalk is what an envelope of readings or placements says.
func readTalk(e envelope) (subset.Event, error) {
	if e.Kind == kindPlaced {
		rows, err := readPlaced(e.Body)
		return subset.HeardPlaced{From: e.From, Rows: rows}, err
	}
	readings, err := readWord(e.Body)
	return subset.Heard{From: e.From, Readings: readings}, err
}

func writePlaced(rows []subset.Placed) (w wirePlaced) {
	var all names
	for _, r := range rows {
		w.Rows = append(w.Rows, wireRow{Spot: r.Spot, By: all.of(r.By), Life: r.Life, Seq: r.Seq, N: r.N, Age: int64(r.Age)})
	}
	w.Names = all.list
	return w
}

func readPlaced(body []byte) (out []subset.Placed, err error) {
	var w wirePlaced
	if err := cbor.Unmarshal(body, &w); err != nil || len(w.Rows) > 2*subset.PlacedMost {
		return nil, errWord
	}
	for _, r := range w.Rows {
		by, err := origin(w.Names, r.By)
		if err != nil {
			return nil, err
		}
		out = append(out, subset.Placed{Spot: r.Spot, By: by, Life: r.Life, Seq: r.Seq, N: r.N, Age: float64(r.Age)})
	}
	return out, nil
}

func writeWord(readings []subset.Reading) (w wireWord) {
	var all names
	for _, r := range readings {
		w.Readings = append(w.Readings, wireReading{Spot: r.Spot, Started: r.Started, By: all.of(r.By), Life: r.Life, At: int64(r.At), Age: int64(r.Age),
			Load: milli(r.Load.Load), Inflight: milli(r.Inflight), Errors: milli(r.Errors), Busy: milli(r.Busy)})
	}
	w.Names = all.list
	return w
}

var errWord = errors.New("readings that make no sense")

func readWord(body []byte) (out []subset.Reading, err error) {
	var w wireWord
	if err := cbor.Unmarshal(body, &w); err != nil || len(w.Readings) > 4*mostWords {
		return nil, errWord
	}
	part := func(x int64) float64 {
		if x < 0 {
			return -1
		}
		return float64(x) / 1000
	}
	for _, r := range w.Readings {
		by, err := origin(w.Names, r.By)
		if err != nil || r.Age < 0 {
			return nil, errWord
		}
		out = append(out, subset.Reading{Spot: r.Spot, Started: r.Started, By: by, Life: r.Life, At: float64(r.At), Age: float64(r.Age),
			Load: subset.Load{Load: part(r.Load), Inflight: part(r.Inflight), Errors: part(r.Errors), Busy: part(r.Busy)}})
	}
	return out, nil
}
