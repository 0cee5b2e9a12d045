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

// simulatedFleet is a set of Schedulers on a simulated clock, with a network that loses and delays packets,
// and servers whose loads change at random.
type simulatedFleet struct {
	rng                   *rand.Rand
	now                   float64
	relays                []Relay
	servers               []Server
	schedulers            []*Scheduler
	clockRate             []float64 // of each relay's clock
	stopped               map[int]bool
	inTransit             []packet
	loads                 map[uint64]float64
	falseLoad             map[int]float64 // load that a faulty relay reports for every server
	lossRate              float64
	isCut                 func(a, b int) bool
	probedAt              map[uint64][]float64
	maxUsedAge            float64     // highest age of a reading when it was used
	maxLoadError          float64     // highest error of a used load against the true load
	samplesWithoutReading int         // samples in which a relay had no usable reading of a server
	samples               int         // of every relay and server at every step
	usedReadAt            [][]float64 // by relay and server: time of the reading in use
	loadHistory           map[uint64][]float64
	trace                 *trace.Trace // of all actions, or nil
}

type packet struct {
	at       float64
	from, to int
	readings []Reading
	rows     []PlacementDelta // nil for a packet of readings
}

const stepMillis = 25.0

func newSimulatedFleet(seed uint64, relays, servers int) *simulatedFleet {
	rs, ss := newFleet(relays, servers, 3)
	c := &simulatedFleet{rng: rand.New(rand.NewPCG(seed, 7)), relays: rs, servers: ss,
		stopped: map[int]bool{},
		loads:   map[uint64]float64{}, falseLoad: map[int]float64{}, probedAt: map[uint64][]float64{},
		loadHistory: map[uint64][]float64{}}
	for i := range rs {
		c.schedulers = append(c.schedulers, New(rs[i].Name, seed+uint64(i)))
		c.clockRate = append(c.clockRate, 0.95+0.1*c.rng.Float64())
		c.usedReadAt = append(c.usedReadAt, make([]float64, servers))
	}
	for _, s := range ss {
		c.loads[s.Key] = c.rng.Float64()
	}
	c.updateView()
	return c
}

// updateView gives all relays the view of those that run.
func (c *simulatedFleet) updateView() {
	var up []Relay
	for i, r := range c.relays {
		if !c.stopped[i] {
			up = append(up, r)
		}
	}
	table := Assign(up, c.servers)
	for i, k := range c.schedulers {
		k.Handle(c.localTime(i), ParticipantsChanged{Relays: up, Incarnation: 1, Servers: c.servers,
			Assignment: table}, nil)
	}
}

// localTime returns the time on a relay's clock. Each clock has its own origin and rate.
func (c *simulatedFleet) localTime(i int) time.Duration {
	return duration.FromMillis(c.now*c.clockRate[i] + 1e4*float64(i%7))
}

// run advances the simulation.
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
		for _, p := range due {
			if p.at > c.now {
				c.inTransit = append(c.inTransit, p)
			} else if p.rows != nil && !c.stopped[p.to] {
				c.execute(p.to, c.schedulers[p.to].Handle(c.localTime(p.to),
					PlacementsReceived{From: c.relays[p.from].Name, Deltas: p.rows}, nil))
			} else if !c.stopped[p.to] {
				c.execute(p.to, c.schedulers[p.to].Handle(c.localTime(p.to),
					ReadingsReceived{From: c.relays[p.from].Name, Readings: p.readings}, nil))
			}
		}
		for i, k := range c.schedulers {
			if c.stopped[i] {
				continue
			}
			if c.trace != nil {
				c.placeAtRandom(i)
			}
			c.execute(i, k.Handle(c.localTime(i), Tick{}, nil))
			for j := range c.servers {
				c.samples++
				if c.now-c.usedReadAt[i][j] > duration.Millis(MaxReadingAge) {
					c.samplesWithoutReading++
				}
			}
		}
	}
}

// execute carries out the actions of a relay's Scheduler.
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
			c.probedAt[a.ServerKey] = append(c.probedAt[a.ServerKey], c.now)
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

// recordUsed records a reading that a relay uses, and how far it is from the server's load.
func (c *simulatedFleet) recordUsed(i int, serverKey uint64, readAt, load float64) {
	for j, s := range c.servers {
		if s.Key == serverKey {
			c.usedReadAt[i][j] = max(c.usedReadAt[i][j], readAt)
		}
	}
	if _, lies := c.falseLoad[i]; lies {
		return
	}
	loadError := math.Inf(1)
	for _, x := range c.loadHistory[serverKey][max(0,
		len(c.loadHistory[serverKey])-int(2*duration.Millis(MaxReadingAge)/stepMillis)):] {
		loadError = min(loadError, math.Abs(load-x))
	}
	c.maxLoadError = max(c.maxLoadError, loadError)
}

// maxProbeRate returns the highest rate of probes of a server, per second, over any span of the given length
// that starts after since.
func (c *simulatedFleet) maxProbeRate(since, over float64) (most float64) {
	for _, at := range c.probedAt {
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

// The probe rate grows with the number of servers and not with that of relays: it is at most about two probes
// per second and server over 6 s. Every relay still has a usable reading of every server nearly always, with
// 1% and 10% packet loss and clocks up to 5% off.
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
			t.Logf("%d relays, %.0f%% lost packets: at most %.2f probes per second of a server, "+
				"no reading in %.4f of samples, readings used up to an age of %.0f ms",
				relays, 100*loss, c.maxProbeRate(from, 6000), missing, c.maxUsedAge)
			if most := c.maxProbeRate(from, 5900); most > 2.2 { // clocks run up to 5% fast
				t.Errorf("%d relays: %.2f probes per second of one server, want at most 2.2", relays, most)
			}
			if relays > 2 && missing > 0.01 {
				t.Errorf("%d relays, %.0f%% lost packets: no reading in %.3f of samples, want at most 0.01",
					relays, 100*loss, missing)
			}
			if c.maxUsedAge > duration.Millis(MaxReadingAge) {
				t.Errorf("a reading was used at an age of %.0f ms, want at most MaxReadingAge", c.maxUsedAge)
			}
		}
	}
}

// A relay that reports that all servers are empty, or full, does not move the loads that others use by more
// than the agreement tolerance, and is quarantined. Without corroboration the same check fails, which shows
// that it detects false reports.
func TestFalseReportsOfOneRelayAreOutvoted(t *testing.T) {
	for _, falseLoad := range []float64{0, 3} {
		for _, trustAll := range []bool{false, true} {
			c := newSimulatedFleet(11, 9, 12)
			for _, s := range c.servers {
				c.loads[s.Key] = 1 + 0.2*c.rng.Float64()
			}
			for _, k := range c.schedulers {
				k.skipCorroboration = trustAll
			}
			c.falseLoad[4] = falseLoad
			c.run(12_000)
			if misled := c.maxLoadError >
				2*(AbsoluteAgreementTolerance+RelativeAgreementTolerance); misled != trustAll {
				t.Errorf("false load %v, corroboration off %v: a used load was off by %.2f", falseLoad,
					trustAll, c.maxLoadError)
			}
			quarantined := 0
			for i, k := range c.schedulers {
				if d := k.Report(c.localTime(i)).QuarantinedRelays; len(d) == 1 && d[0] == "r4" {
					quarantined++
				} else if len(d) > 0 && i != 4 {
					t.Errorf("r%d quarantined %v, want only r4", i, d)
				}
			}
			if !trustAll && quarantined < 7 {
				t.Errorf("false load %v: %d of the 8 other relays quarantined r4, want at least 7", falseLoad,
					quarantined)
			}
		}
	}
}

// Unusable readings are dropped, each for its own reason.
func TestImplausibleReadingsAreLeftOut(t *testing.T) {
	rs, ss := newFleet(4, 1, 1)
	ss[0].Started = 50
	valid := Reading{ServerKey: ss[0].Key, Started: 50, Origin: "r1", Incarnation: 1,
		ReadAt: 100 * time.Millisecond, Age: 10 * time.Millisecond, LoadReport: LoadReport{0.5, -1, -1, -1}}
	for _, c := range []struct {
		reason DropReason
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
		r := valid
		c.change(&r)
		if acts := k.Handle(time.Second, ReadingsReceived{"r2", []Reading{r}}, nil); len(acts) > 0 ||
			k.counters.dropped[c.reason] != 1 {
			t.Errorf("reading that should be dropped as %s: actions %v, counts by reason %v", c.reason, acts,
				k.counters.dropped)
		}
	}
	k := New("r0", 1)
	k.Handle(0, ParticipantsChanged{Relays: rs, Incarnation: 1, Servers: ss, Assignment: Assign(rs, ss)}, nil)
	receive := func(now time.Duration, r Reading) string {
		acts := k.Handle(now, ReadingsReceived{"r2", []Reading{r}}, nil)
		return fmt.Sprintf("%d %v", len(acts), k.counters.dropped)
	}
	second := valid
	second.Origin, second.LoadReport.Load = "r2", 0.55
	receive(time.Second, valid)
	if got := receive(time.Second, second); got != "1 map[not borne out:1]" {
		t.Errorf("corroborated reading: got %s, want one action and no further drop", got)
	}
	// A packet that was under way for 5 s states an age of 10 ms; earlier messages reveal the true age.
	late := valid
	late.ReadAt, late.Age = 200*time.Millisecond, 10*time.Millisecond
	if got := receive(6100*time.Millisecond, late); got != "0 map[not borne out:1 too old:1]" {
		t.Errorf("reading under way for 5 s: got %s, want it dropped as too old", got)
	}
}

// A step of a server's load is used once a second relay has seen it, and the relay that saw it first is not
// quarantined, however often that happens.
func TestLoadStepIsBelievedWithoutQuarantine(t *testing.T) {
	for _, drift := range []float64{-0.05, 0, 0.05} { // of one relay's clock, relative to all others
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
					t.Fatalf("r%d quarantined %v after a load step, want none", i, r.QuarantinedRelays)
				}
				for _, row := range r.Servers {
					if math.Abs(row.Load-c.loads[row.ServerKey]) > 0.6 {
						t.Errorf("r%d uses load %.2f for a server whose load is %.2f", i, row.Load,
							c.loads[row.ServerKey])
					}
				}
				if left := r.DroppedByReason[string(DropTooOld)]; left > r.ReadingsReceived/50 {
					t.Errorf("clock drift %v: r%d dropped %d readings as too old of %d, want at most 2%%",
						2*drift, i, left, r.ReadingsReceived)
				}
			}
		}
	}
}
