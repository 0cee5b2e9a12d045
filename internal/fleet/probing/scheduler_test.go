package probing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"capersail/internal/fleet/duration"
	"capersail/internal/testing/trace"
)

// simulatedFleet is many Schedulers on a set clock, with a net that loses and delays, and servers whose
// loads wander.
type simulatedFleet struct {
	rng                   *rand.Rand
	now                   float64
	relays                []Relay
	servers               []Server
	schedulers            []*Scheduler
	clockRate             []float64 // of each relay's clock
	down                  map[int]bool
	inTransit             []packet
	loads                 map[uint64]float64
	falseLoad             map[int]float64 // a relay that tells this load of every server
	lossRate              float64
	isCut                 func(a, b int) bool
	probeTimes            map[uint64][]float64
	maxUsedAge            float64 // greatest age at which something was believed
	maxError              float64 // greatest difference of what was believed to what the server had then or since
	samplesWithoutReading int     // moments at which a relay had no usable reading of a server, over all
	samples               int
	usedAt                [][]float64 // by relay and server: when the reading believed was taken
	loadHistory           map[uint64][]float64
	trace                 *trace.Trace // of all actions; nil for none
}

type packet struct {
	at       float64
	from, to int
	readings []Reading
	rows     []PlacementDelta // in place of readings
}

const stepMillis = 25.0

func newSimulatedFleet(seed uint64, relays, servers int) *simulatedFleet {
	rs, ss := newFleet(relays, servers, 3)
	c := &simulatedFleet{rng: rand.New(rand.NewPCG(seed, 7)), relays: rs, servers: ss, down: map[int]bool{},
		loads: map[uint64]float64{}, falseLoad: map[int]float64{}, probeTimes: map[uint64][]float64{},
		loadHistory: map[uint64][]float64{}}
	for i := range rs {
		c.schedulers = append(c.schedulers, New(rs[i].Name, seed+uint64(i)))
		c.clockRate = append(c.clockRate, 0.95+0.1*c.rng.Float64())
		c.usedAt = append(c.usedAt, make([]float64, servers))
	}
	for _, s := range ss {
		c.loads[s.Key] = c.rng.Float64()
	}
	c.updateView()
	return c
}

// updateView hands all that run the updateView of just them.
func (c *simulatedFleet) updateView() {
	var up []Relay
	for i, r := range c.relays {
		if !c.down[i] {
			up = append(up, r)
		}
	}
	table := Assign(up, c.servers)
	for i, k := range c.schedulers {
		k.Handle(c.localTime(i), ParticipantsChanged{Relays: up, Incarnation: 1, Servers: c.servers,
			Assignment: table}, nil)
	}
}

// localTime is the time on a relay's clock, which began at another moment than the others'.
func (c *simulatedFleet) localTime(i int) time.Duration {
	return duration.FromMillis(c.now*c.clockRate[i] + 1e4*float64(i%7))
}

func (c *simulatedFleet) run(ms float64) {
	serverIndex := map[uint64]int{}
	for i, s := range c.servers {
		serverIndex[s.Key] = i
	}
	for end := c.now + ms; c.now < end; c.now += stepMillis {
		for _, s := range c.servers {
			c.loads[s.Key] = math.Abs(c.loads[s.Key] + 0.01*c.rng.NormFloat64())
			c.loadHistory[s.Key] = append(c.loadHistory[s.Key], c.loads[s.Key])
		}
		due := c.inTransit
		c.inTransit = nil
		for _, l := range due {
			if l.at > c.now {
				c.inTransit = append(c.inTransit, l)
			} else if l.rows != nil && !c.down[l.to] {
				c.execute(l.to, c.schedulers[l.to].Handle(c.localTime(l.to),
					PlacementsReceived{From: c.relays[l.from].Name, Deltas: l.rows}, nil))
			} else if !c.down[l.to] {
				c.execute(l.to, c.schedulers[l.to].Handle(c.localTime(l.to),
					ReadingsReceived{From: c.relays[l.from].Name, Readings: l.readings}, nil))
			}
		}
		for i, k := range c.schedulers {
			if c.down[i] {
				continue
			}
			if c.trace != nil {
				c.placeAtRandom(i)
			}
			c.execute(i, k.Handle(c.localTime(i), Tick{}, nil))
			for j := range c.servers {
				c.samples++
				if c.now-c.usedAt[i][j] > duration.Millis(MaxReadingAge) {
					c.samplesWithoutReading++
				}
			}
		}
	}
}

func (c *simulatedFleet) execute(i int, acts []Action) {
	for _, a := range acts {
		record(c.trace, i, a)
		switch a := a.(type) {
		case SendPlacements:
			for to, r := range c.relays {
				if r.Name == a.To && c.rng.Float64() >= c.lossRate {
					c.inTransit = append(c.inTransit, packet{c.now + 1 + 20*c.rng.Float64(), i, to, nil,
						a.Deltas})
				}
			}
		case Probe:
			c.probeTimes[a.ServerKey] = append(c.probeTimes[a.ServerKey], c.now)
			load, lies := c.falseLoad[i]
			if !lies {
				load = c.loads[a.ServerKey] * (1 + 0.05*c.rng.NormFloat64())
			}
			c.schedulers[i].Handle(c.localTime(i), OwnReading{ServerKey: a.ServerKey,
				LoadReport: LoadReport{Load: load, InFlight: -1, ErrorsPerSecond: -1, CPUUtilization: -1}},
				nil)
			c.recordUsed(i, a.ServerKey, c.now, load)
		case SendReadings:
			for to, r := range c.relays {
				if r.Name == a.To && c.rng.Float64() >= c.lossRate && (c.isCut == nil || !c.isCut(i, to)) {
					c.inTransit = append(c.inTransit, packet{c.now + 1 + 20*c.rng.Float64(), i, to,
						a.Readings, nil})
				}
			}
		case UseReading:
			c.maxUsedAge = max(c.maxUsedAge, duration.Millis(a.Age))
			c.recordUsed(i, a.ServerKey, c.now-duration.Millis(a.Age)/c.clockRate[i],
				placementLoad(a.Reading))
		}
	}
}

func (c *simulatedFleet) recordUsed(i int, spot uint64, taken, load float64) {
	for j, s := range c.servers {
		if s.Key == spot {
			c.usedAt[i][j] = max(c.usedAt[i][j], taken)
		}
	}
	if _, lies := c.falseLoad[i]; lies {
		return
	}
	off := math.Inf(1)
	for _, x := range c.loadHistory[spot][max(0,
		len(c.loadHistory[spot])-int(2*duration.Millis(MaxReadingAge)/stepMillis)):] {
		off = min(off, math.Abs(load-x))
	}
	c.maxError = max(c.maxError, off)
}

// maxProbeRate is the greatest number of probes of a server in any second since a moment.
func (c *simulatedFleet) maxProbeRate(since, over float64) (most float64) {
	for _, at := range c.probeTimes {
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

// Looks grow with servers and not with relays: at most two a second a server in the mean of 6 s, while
// every relay has a usable reading of every server nearly always, at 1 and 10% loss and clocks up to 5%
// off.
func TestProbesDoNotGrowWithRelays(t *testing.T) {
	for _, relays := range []int{2, 9, 30, 300} {
		for _, loss := range []float64{0.01, 0.1}[relays/300:] {
			c := newSimulatedFleet(uint64(relays), relays, 30)
			c.lossRate = loss
			c.run(3000)
			from := c.now
			c.samplesWithoutReading, c.samples = 0, 0
			c.run(6000)
			missing := float64(c.samplesWithoutReading) / float64(c.samples)
			t.Logf("%d relays, %.0f%% lost: at most %.2f probes a second at a server, "+
				"%.4f without a reading, ages up to %.0f ms",
				relays, 100*loss, c.maxProbeRate(from, 6000), missing, c.maxUsedAge)
			if most := c.maxProbeRate(from, 5900); most > 2.2 { // clocks run up to 5% fast
				t.Errorf("%d relays: %.2f probes a second at one server", relays, most)
			}
			if relays > 2 && missing > 0.01 {
				t.Errorf("%d relays, %.0f%% lost: without a reading %.3f of the time", relays, 100*loss,
					missing)
			}
			if c.maxUsedAge > duration.Millis(MaxReadingAge) {
				t.Errorf("believed at an age of %.0f ms", c.maxUsedAge)
			}
		}
	}
}

// One relay that tells that all servers are empty, or full, moves nobody's belief beyond what readings
// may differ by, and is quarantined. With all that is received taken for true, the same check finds it out.
func TestFalseReportsOfOneRelayAreOutvoted(t *testing.T) {
	for _, lie := range []float64{0, 3} {
		for _, trust := range []bool{false, true} {
			c := newSimulatedFleet(11, 9, 12)
			for _, s := range c.servers {
				c.loads[s.Key] = 1 + 0.2*c.rng.Float64()
			}
			for _, k := range c.schedulers {
				k.skipCorroboration = trust
			}
			c.falseLoad[4] = lie
			c.run(12_000)
			if misled := c.maxError > 2*(AbsoluteAgreementTolerance+RelativeAgreementTolerance); misled != trust {
				t.Errorf("lie %v, all believed %v: believed what was %.2f off", lie, trust, c.maxError)
			}
			quarantined := 0
			for i, k := range c.schedulers {
				if d := k.Report(c.localTime(i)).QuarantinedRelays; len(d) == 1 && d[0] == "r4" {
					quarantined++
				} else if len(d) > 0 && i != 4 {
					t.Errorf("r%d quarantines %v", i, d)
				}
			}
			if !trust && quarantined < 7 {
				t.Errorf("lie %v: %d of 8 quarantine it", lie, quarantined)
			}
		}
	}
}

// What readings are left out, each for its reason.
func TestImplausibleReadingsAreLeftOut(t *testing.T) {
	rs, ss := newFleet(4, 1, 1)
	ss[0].Started = 50
	good := Reading{ServerKey: ss[0].Key, Started: 50, Origin: "r1", Incarnation: 1,
		ReadAt: 100 * time.Millisecond, Age: 10 * time.Millisecond, LoadReport: LoadReport{0.5, -1, -1, -1}}
	for _, c := range []struct {
		why    DropReason
		change func(r *Reading)
	}{
		{DropUncorroborated, func(*Reading) {}},
		{DropOtherIncarnation, func(r *Reading) { r.Started = 49 }},
		{DropOtherIncarnation, func(r *Reading) { r.Started = 51 }},
		{DropImplausible, func(r *Reading) { r.LoadReport.Load = math.NaN() }},
		{DropImplausible, func(r *Reading) { r.LoadReport.Load = -7 }},
		{DropNoLoad, func(r *Reading) { r.LoadReport.Load = -1 }},
		{DropImplausible, func(r *Reading) { r.Age = -1 }},
		{DropTooOld, func(r *Reading) { r.Age = MaxReadingAge + 1 }},
		{DropUnknownOrigin, func(r *Reading) { r.Origin = "stranger" }},
		{DropUnknownOrigin, func(r *Reading) { r.ServerKey++ }},
	} {
		k := New("r0", 1)
		k.Handle(0, ParticipantsChanged{Relays: rs, Incarnation: 1, Servers: ss,
			Assignment: Assign(rs, ss)}, nil)
		r := good
		c.change(&r)
		if acts := k.Handle(time.Second, ReadingsReceived{"r2", []Reading{r}}, nil); len(acts) > 0 ||
			k.counters.dropped[c.why] != 1 {
			t.Errorf("%s: %v, %v", c.why, acts, k.counters.dropped)
		}
	}
	k := New("r0", 1)
	k.Handle(0, ParticipantsChanged{Relays: rs, Incarnation: 1, Servers: ss, Assignment: Assign(rs, ss)}, nil)
	receive := func(now time.Duration, r Reading) string {
		acts := k.Handle(now, ReadingsReceived{"r2", []Reading{r}}, nil)
		return fmt.Sprintf("%d %v", len(acts), k.counters.dropped)
	}
	second := good
	second.Origin, second.LoadReport.Load = "r2", 0.55
	receive(time.Second, good)
	if got := receive(time.Second, second); got != "1 map[not borne out:1]" {
		t.Errorf("one that is borne out: %s", got)
	}
	// A packet that was under way for 5 s says that its reading is 10 ms old; what came before tells that it
	// is not.
	late := good
	late.ReadAt, late.Age = 200*time.Millisecond, 10*time.Millisecond
	if got := receive(6100*time.Millisecond, late); got != "0 map[not borne out:1 too old:1]" {
		t.Errorf("one that was under way for 5 s: %s", got)
	}
}

// A step of a server's load is taken for true once a second relay has seen it, and whoever saw it first
// is not quarantined for that, however often it happens.
func TestLoadStepIsBelievedWithoutQuarantine(t *testing.T) {
	for _, drift := range []float64{-0.05, 0, 0.05} { // of one relay's clock, against all others
		c := newSimulatedFleet(5, 9, 6)
		for i := range c.clockRate {
			c.clockRate[i] = 1 - drift
		}
		c.clockRate[3] = 1 + drift
		c.run(4000)
		for i := range 10 {
			for s := range c.loads {
				c.loads[s] = float64(1 + 2*(i%2))
			}
			c.run(2300)
			for i, k := range c.schedulers {
				r := k.Report(c.localTime(i))
				if len(r.QuarantinedRelays) > 0 {
					t.Fatalf("r%d quarantines %v", i, r.QuarantinedRelays)
				}
				for _, row := range r.Servers {
					if math.Abs(row.Load-c.loads[row.ServerKey]) > 0.6 {
						t.Errorf("r%d believes %.2f of a server that stands at %.2f", i, row.Load,
							c.loads[row.ServerKey])
					}
				}
				if left := r.DroppedByReason[string(DropTooOld)]; left > r.ReadingsReceived/50 {
					t.Errorf("clocks %v apart: r%d left %d readings out as too old, took %d", 2*drift, i,
						left, r.ReadingsReceived)
				}
			}
		}
	}
}
