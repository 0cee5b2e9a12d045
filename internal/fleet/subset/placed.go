package subset

import "math"

// Placements are summed and not guessed: each relay tells what it has sent to which server since its last round, less what has
// ended there, all others hear it as they hear readings, and each adds what is younger than its reading of that server. Without
// the ends, connections of 2 s made servers that stood at half of their load look full. Only so many a second fit
// the rounds; a fleet to which more come goes on guessing by the sum of arrivals, whose spread is small there.
const (
	// MostPlaced is up to how many requests a second of the whole fleet placements are told. A relay then sends some 9 times
	// as many rows, of 20 bytes or so, each second.
	MostPlaced = 200.0
	// PlacedMost is how many rows a round carries.
	PlacedMost = 48
	mostInRow  = 1000
)

// Placed is what one relay has sent to one server in one round, less what has ended there.
type Placed struct {
	Spot uint64
	By   string
	Life uint64
	Seq  uint64 // of the origin's rows: rises by one
	N    int
	Age  float64
}

type (
	// Sent says that this relay has sent so many connections to a server; negative, that so many have ended there.
	Sent struct {
		Spot uint64
		N    int
	}
	// HeardPlaced is what a peer has passed on.
	HeardPlaced struct {
		From string
		Rows []Placed
	}
	// Others is what another relay has sent to a server.
	Others struct{ Placed }
	// TellPlaced passes rows on.
	TellPlaced struct {
		To   string
		Rows []Placed
	}
)

func (Sent) event()        {}
func (HeardPlaced) event() {}
func (Others) action()     {}
func (TellPlaced) action() {}

// row is one that is to be passed on.
type row struct {
	Placed
	taken float64
	told  int
}

// placedHere gathers this relay's own until its next round.
func (k *Keeper) placedHere(e Sent) {
	if k.On() && k.servers[e.Spot] != nil {
		k.own[e.Spot] += e.N
	}
}

// hearPlaced takes in a row that a peer has passed on. It returns why it is left out.
func (k *Keeper) hearPlaced(p Placed) string {
	o := k.relays[p.By]
	switch {
	case p.By == k.me:
		return ""
	case o == nil || k.servers[p.Spot] == nil:
		return Unknown
	case p.N == 0 || p.N > mostInRow || p.N < -mostInRow || p.Age < 0 || math.IsNaN(p.Age):
		return Impossible
	case p.Age > UsableFor:
		return TooOld
	case k.now < o.till:
		return Doubted
	case !o.rows.Take(p.Life, p.Seq):
		return ""
	}
	k.rows = append(k.rows, row{p, k.now - p.Age, 0})
	k.do(Others{p})
	return ""
}

// tellPlaced returns what a round passes on: this relay's own first, then what has been passed on least.
func (k *Keeper) tellPlaced() []Placed {
	for _, s := range k.list {
		if n := min(max(k.own[s.Spot], -mostInRow), mostInRow); n != 0 {
			k.seq++
			k.rows = append(k.rows, row{Placed{Spot: s.Spot, By: k.me, Life: k.life, Seq: k.seq, N: n}, k.now, 0})
		}
	}
	clear(k.own)
	keep, batch := k.rows[:0], []Placed(nil)
	for i := len(k.rows) - 1; i >= 0; i-- { // the newest first
		r := &k.rows[i]
		if k.now-r.taken > UsableFor/2 || r.told >= passes || len(batch) >= PlacedMost {
			r.told = passes
			continue
		}
		r.told++
		p := r.Placed
		p.Age = k.now - r.taken
		batch = append(batch, p)
	}
	for _, r := range k.rows {
		if r.told < passes {
			keep = append(keep, r)
		}
	}
	k.rows = keep
	return batch
}
