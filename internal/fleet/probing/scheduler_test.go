package probing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"capersail/internal/fleet/duration"
)

// crowd is many Schedulers on a set clock, with a net that loses and delays, and servers whose loads wander.
type crowd struct {
	rng     *rand.Rand
	now     float64
	rs      []Relay
	ss      []Server
	keepers []*Scheduler
	rate    []float64 // of each relay's clock
	down    map[int]bool
	mail    []letter
	loads   map[uint64]float64
	lies    map[int]float64 // a relay that tells this load of every server
	loss    float64
	cut     func(a, b int) bool
	looks   map[uint64][]float64
	worst   float64 // greatest age at which something was believed
	wrong   float64 // greatest difference of what was believed to what the server had then or since
	gaps    int     // moments at which a relay had no usable reading of a server, over all
	seen    int
	believe [][]float64 // by relay and server: when the reading believed was taken
	past    map[uint64][]float64
	trace   *trace // of all actions; nil for none
}

type letter struct {
	at       float64
	from, to int
	readings []Reading
	rows     []PlacementDelta // in place of readings
}

const step = 25.0

func newCrowd(seed uint64, relays, servers int) *crowd {
	rs, ss := fleet(relays, servers, 3)
	c := &crowd{rng: rand.New(rand.NewPCG(seed, 7)), rs: rs, ss: ss, down: map[int]bool{}, loads: map[uint64]float64{}, lies: map[int]float64{}, looks: map[uint64][]float64{}, past: map[uint64][]float64{}}
	for i := range rs {
		c.keepers = append(c.keepers, New(rs[i].Name, seed+uint64(i)))
		c.rate = append(c.rate, 0.95+0.1*c.rng.Float64())
		c.believe = append(c.believe, make([]float64, servers))
	}
	for _, s := range ss {
		c.loads[s.Key] = c.rng.Float64()
	}
	c.view()
	return c
}

// view hands all that run the view of just them.
func (c *crowd) view() {
	var up []Relay
	for i, r := range c.rs {
		if !c.down[i] {
			up = append(up, r)
		}
	}
	table := Assign(up, c.ss)
	for i, k := range c.keepers {
		k.Handle(c.own(i), ParticipantsChanged{Relays: up, Incarnation: 1, Servers: c.ss, Assignment: table}, nil)
	}
}

// own is the time on a relay's clock, which began at another moment than the others'.
func (c *crowd) own(i int) time.Duration {
	return duration.FromMillis(c.now*c.rate[i] + 1e4*float64(i%7))
}

func (c *crowd) run(ms float64) {
	spots := map[uint64]int{}
	for i, s := range c.ss {
		spots[s.Key] = i
	}
	for end := c.now + ms; c.now < end; c.now += step {
		for _, s := range c.ss {
			c.loads[s.Key] = math.Abs(c.loads[s.Key] + 0.01*c.rng.NormFloat64())
			c.past[s.Key] = append(c.past[s.Key], c.loads[s.Key])
		}
		due := c.mail
		c.mail = nil
		for _, l := range due {
			if l.at > c.now {
				c.mail = append(c.mail, l)
			} else if l.rows != nil && !c.down[l.to] {
				c.act(l.to, c.keepers[l.to].Handle(c.own(l.to), PlacementsReceived{From: c.rs[l.from].Name, Rows: l.rows}, nil))
			} else if !c.down[l.to] {
				c.act(l.to, c.keepers[l.to].Handle(c.own(l.to), ReadingsReceived{From: c.rs[l.from].Name, Readings: l.readings}, nil))
			}
		}
		for i, k := range c.keepers {
			if c.down[i] {
				continue
			}
			if c.trace != nil {
				c.place(i)
			}
			c.act(i, k.Handle(c.own(i), Tick{}, nil))
			for j := range c.ss {
				c.seen++
				if c.now-c.believe[i][j] > duration.Millis(MaxReadingAge) {
					c.gaps++
				}
			}
		}
	}
}

func (c *crowd) act(i int, acts []Action) {
	for _, a := range acts {
		c.trace.add(i, a)
		switch a := a.(type) {
		case SendPlacements:
			for to, r := range c.rs {
				if r.Name == a.To && c.rng.Float64() >= c.loss {
					c.mail = append(c.mail, letter{c.now + 1 + 20*c.rng.Float64(), i, to, nil, a.Rows})
				}
			}
		case Probe:
			c.looks[a.ServerKey] = append(c.looks[a.ServerKey], c.now)
			load, lies := c.lies[i]
			if !lies {
				load = c.loads[a.ServerKey] * (1 + 0.05*c.rng.NormFloat64())
			}
			c.keepers[i].Handle(c.own(i), OwnReading{ServerKey: a.ServerKey, LoadReport: LoadReport{Load: load, Inflight: -1, Errors: -1, Busy: -1}}, nil)
			c.believed(i, a.ServerKey, c.now, load)
		case SendReadings:
			for to, r := range c.rs {
				if r.Name == a.To && c.rng.Float64() >= c.loss && (c.cut == nil || !c.cut(i, to)) {
					c.mail = append(c.mail, letter{c.now + 1 + 20*c.rng.Float64(), i, to, a.Readings, nil})
				}
			}
		case UseReading:
			c.worst = max(c.worst, duration.Millis(a.Age))
			c.believed(i, a.ServerKey, c.now-duration.Millis(a.Age)/c.rate[i], placementLoad(a.Reading))
		}
	}
}

func (c *crowd) believed(i int, spot uint64, taken, load float64) {
	for j, s := range c.ss {
		if s.Key == spot {
			c.believe[i][j] = max(c.believe[i][j], taken)
		}
	}
	if _, lies := c.lies[i]; lies {
		return
	}
	off := math.Inf(1)
	for _, x := range c.past[spot][max(0, len(c.past[spot])-int(2*duration.Millis(MaxReadingAge)/step)):] {
		off = min(off, math.Abs(load-x))
	}
	c.wrong = max(c.wrong, off)
}

// most is the greatest number of probes of a server in any second since a moment.
func (c *crowd) most(since, over float64) (most float64) {
	for _, at := range c.looks {
		for i, t := range at {
			n := 0
			for _, u := range at[i:] {
				if t >= since && u-t < over {
					n++
				}
			}
			most = max(most, float64(n)*1000/over)
		}
	}
	return most
}

// Looks grow with servers and not with relays: at most two a second a server in the mean of 6 s, while every relay has a
// usable reading of every server nearly always, at 1 and 10% loss and clocks up to 5% off.
func TestLooksDoNotGrowWithRelays(t *testing.T) {
	for _, relays := range []int{2, 9, 30, 300} {
		for _, loss := range []float64{0.01, 0.1}[relays/300:] {
			c := newCrowd(uint64(relays), relays, 30)
			c.loss = loss
			c.run(3000)
			from := c.now
			c.gaps, c.seen = 0, 0
			c.run(6000)
			missing := float64(c.gaps) / float64(c.seen)
			t.Logf("%d relays, %.0f%% lost: at most %.2f looks a second at a server, %.4f without a reading, ages up to %.0f ms", relays, 100*loss, c.most(from, 6000), missing, c.worst)
			if most := c.most(from, 5900); most > 2.2 { // clocks run up to 5% fast
				t.Errorf("%d relays: %.2f looks a second at one server", relays, most)
			}
			if relays > 2 && missing > 0.01 {
				t.Errorf("%d relays, %.0f%% lost: without a reading %.3f of the time", relays, 100*loss, missing)
			}
			if c.worst > duration.Millis(MaxReadingAge) {
				t.Errorf("believed at an age of %.0f ms", c.worst)
			}
		}
	}
}

// One relay that tells that all servers are empty, or full, moves nobody's belief beyond what readings may differ by, and is
// quarantined. With what is told taken for true, the same check finds it out.
func TestOneLiarMovesNobody(t *testing.T) {
	for _, lie := range []float64{0, 3} {
		for _, trust := range []bool{false, true} {
			c := newCrowd(11, 9, 12)
			for _, s := range c.ss {
				c.loads[s.Key] = 1 + 0.2*c.rng.Float64()
			}
			for _, k := range c.keepers {
				k.skipCorroboration = trust
			}
			c.lies[4] = lie
			c.run(12_000)
			if fooled := c.wrong > 2*(AgreeAbsolute+AgreeRelative); fooled != trust {
				t.Errorf("lie %v, all believed %v: believed what was %.2f off", lie, trust, c.wrong)
			}
			doubted := 0
			for i, k := range c.keepers {
				if d := k.Report(c.own(i)).Quarantined; len(d) == 1 && d[0] == "r4" {
					doubted++
				} else if len(d) > 0 && i != 4 {
					t.Errorf("r%d doubts %v", i, d)
				}
			}
			if !trust && doubted < 7 {
				t.Errorf("lie %v: %d of 8 doubt it", lie, doubted)
			}
		}
	}
}

// What readings are left out, each for its reason.
func TestReadingsLeftOut(t *testing.T) {
	rs, ss := fleet(4, 1, 1)
	ss[0].Started = 50
	good := Reading{ServerKey: ss[0].Key, Started: 50, Origin: "r1", Incarnation: 1, ReadAt: 100 * time.Millisecond, Age: 10 * time.Millisecond, LoadReport: LoadReport{0.5, -1, -1, -1}}
	for _, c := range []struct {
		why    string
		change func(r *Reading)
	}{
		{Uncorroborated, func(*Reading) {}},
		{OtherIncarnation, func(r *Reading) { r.Started = 49 }},
		{OtherIncarnation, func(r *Reading) { r.Started = 51 }},
		{Impossible, func(r *Reading) { r.LoadReport.Load = math.NaN() }},
		{Impossible, func(r *Reading) { r.LoadReport.Load = -7 }},
		{NoLoad, func(r *Reading) { r.LoadReport.Load = -1 }},
		{Impossible, func(r *Reading) { r.Age = -1 }},
		{TooOld, func(r *Reading) { r.Age = MaxReadingAge + 1 }},
		{UnknownOrigin, func(r *Reading) { r.Origin = "stranger" }},
		{UnknownOrigin, func(r *Reading) { r.ServerKey++ }},
	} {
		k := New("r0", 1)
		k.Handle(0, ParticipantsChanged{Relays: rs, Incarnation: 1, Servers: ss, Assignment: Assign(rs, ss)}, nil)
		r := good
		c.change(&r)
		if acts := k.Handle(time.Second, ReadingsReceived{"r2", []Reading{r}}, nil); len(acts) > 0 || k.dropCounts[c.why] != 1 {
			t.Errorf("%s: %v, %v", c.why, acts, k.dropCounts)
		}
	}
	k := New("r0", 1)
	k.Handle(0, ParticipantsChanged{Relays: rs, Incarnation: 1, Servers: ss, Assignment: Assign(rs, ss)}, nil)
	hear := func(now time.Duration, r Reading) string {
		acts := k.Handle(now, ReadingsReceived{"r2", []Reading{r}}, nil)
		return fmt.Sprintf("%d %v", len(acts), k.dropCounts)
	}
	second := good
	second.Origin, second.LoadReport.Load = "r2", 0.55
	hear(time.Second, good)
	if got := hear(time.Second, second); got != "1 map[not borne out:1]" {
		t.Errorf("one that is borne out: %s", got)
	}
	// A packet that was under way for 5 s says that its reading is 10 ms old; what came before tells that it is not.
	late := good
	late.ReadAt, late.Age = 200*time.Millisecond, 10*time.Millisecond
	if got := hear(6100*time.Millisecond, late); got != "0 map[not borne out:1 too old:1]" {
		t.Errorf("one that was under way for 5 s: %s", got)
	}
}

// A step of a server's load is taken for true once a second relay has seen it, and whoever saw it first is not quarantined for
// that, however often it happens.
func TestStepIsBelieved(t *testing.T) {
	for _, drift := range []float64{-0.05, 0, 0.05} { // of one relay's clock, against all others
		c := newCrowd(5, 9, 6)
		for i := range c.rate {
			c.rate[i] = 1 - drift
		}
		c.rate[3] = 1 + drift
		c.run(4000)
		for i := range 10 {
			for s := range c.loads {
				c.loads[s] = float64(1 + 2*(i%2))
			}
			c.run(2300)
			for i, k := range c.keepers {
				r := k.Report(c.own(i))
				if len(r.Quarantined) > 0 {
					t.Fatalf("r%d doubts %v", i, r.Quarantined)
				}
				for _, row := range r.Servers {
					if math.Abs(row.Load-c.loads[row.ServerKey]) > 0.6 {
						t.Errorf("r%d believes %.2f of a server that stands at %.2f", i, row.Load, c.loads[row.ServerKey])
					}
				}
				if left := r.Dropped[TooOld]; left > r.Received/50 {
					t.Errorf("clocks %v apart: r%d left %d readings out as too old, took %d", 2*drift, i, left, r.Received)
				}
			}
		}
	}
}
