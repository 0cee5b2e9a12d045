package membership

import (
	"fmt"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// drainAndBlockInbound drains a relay and lets it serve again, so that the shares of the other relays shrink.
// One of these gets no packets from the new view on until all leases have expired.
func (sim *simulatedFleet) drainAndBlockInbound(i int) {
	clear(sim.partitioned)
	sim.handle(i, LocalState{Lifecycle: LifecycleDraining, RequestRate: 10, EndpointListGeneration: 1})
	sim.run(6000 + 1000*sim.rng.Float64())
	sim.blockInboundNext = true
	sim.handle(i, LocalState{Lifecycle: LifecycleServing, RequestRate: 10, EndpointListGeneration: 1})
	sim.run(6000)
	sim.blockInboundNext = false
	for _, n := range sim.relays {
		n.inboundBlocked = false
	}
}

// partition splits the network into two or three parts.
func (sim *simulatedFleet) partition() {
	n := len(sim.relays)
	parts, partOf := 2+sim.rng.IntN(2), make([]int, n)
	for j := range partOf {
		partOf[j] = sim.rng.IntN(parts)
	}
	for a := range n {
		for b := range n {
			sim.partitioned[[2]int{a, b}] = partOf[a] != partOf[b]
		}
	}
}

// playRandomSchedule plays one random schedule of faults on a new fleet. disableSafeguard switches one
// safeguard off on each Node; nil for none.
func playRandomSchedule(n, bootstrapSize int, seed uint64, steps int,
	disableSafeguard func(*Node)) *simulatedFleet {
	bootstrapSize = min(bootstrapSize, n)
	sim := newSimulatedFleet(n, bootstrapSize, seed)
	sim.disableSafeguard = disableSafeguard
	sim.injectFaults(bootstrapSize, seed, steps)
	return sim
}

// injectFaults starts some of the relays and plays one random schedule of faults.
func (sim *simulatedFleet) injectFaults(bootstrapSize int, seed uint64, steps int) {
	n := len(sim.relays)
	sim.lossRate, sim.duplicationRate = 0.2*sim.rng.Float64()*float64(seed%2), 0.1*float64(seed%3)/2
	for i := range n {
		if i < bootstrapSize || sim.rng.IntN(2) == 0 {
			sim.start(i)
		}
		if sim.rng.IntN(3) == 0 {
			sim.run(200 * sim.rng.Float64())
		}
	}
	for range steps {
		i := sim.rng.IntN(n)
		switch x := sim.relays[i]; sim.rng.IntN(12) {
		case 0:
			sim.kill(i)
		case 1, 2:
			if !x.running {
				sim.start(i)
			}
		case 3:
			if x.running {
				sim.kill(i)
				sim.run(300 * sim.rng.Float64())
				sim.start(i)
			}
		case 4:
			if x.running {
				x.paused = true
			}
		case 5:
			if x.running && x.paused {
				sim.resume(i)
			}
		case 6: // each relay goes into one of two or three partitions
			sim.partition()
		case 7: // packets are lost in one direction
			for range 1 + n/3 {
				sim.partitioned[[2]int{i, sim.rng.IntN(n)}] = true
			}
		case 8:
			clear(sim.partitioned)
		case 9:
			if x.running && !x.paused {
				sim.handle(i, LocalState{
					Lifecycle: []Lifecycle{LifecycleServing, LifecycleDraining,
						LifecycleLeaving}[sim.rng.IntN(3)],
					RequestRate: 10, EndpointListGeneration: 1})
			}
		// A relay starts to serve. When the first relay adopts the view that shrinks the other shares, one of
		// the others stops receiving packets.
		case 10:
			if x.running && !x.paused {
				sim.drainAndBlockInbound(i)
			}
		}
		if sim.rng.IntN(2) == 0 {
			sim.run(300 * sim.rng.Float64())
		} else {
			sim.run(5000 * sim.rng.Float64())
		}
	}
}

// heal ends all faults and waits until the relays agree on a view.
func (sim *simulatedFleet) heal(within float64) error {
	clear(sim.partitioned)
	sim.lossRate, sim.duplicationRate = 0, 0
	for i, n := range sim.relays {
		switch {
		case !n.running:
			sim.start(i)
		case n.paused:
			sim.resume(i)
		}
		if n.node.localState.Lifecycle != LifecycleServing { // a draining or leaving relay restarts
			sim.kill(i)
			sim.start(i)
		}
	}
	for until := sim.now + within; sim.now < until; {
		sim.run(500)
		if sim.checkAgreement() == nil {
			return nil
		}
	}
	return sim.checkAgreement()
}

// longSchedules reports whether the long schedules are requested. docs/measurements/members.md has the
// command and the result.
func longSchedules() bool { return os.Getenv("CAPERSAIL_LONG") == "1" }

// forEachSeed plays a schedule for each seed on all cores and reports the first seeds that fail. The long
// schedules end before the test's deadline; the log says how many were played.
func forEachSeed(t *testing.T, seeds int, play func(seed uint64) error) {
	deadline, ends := t.Deadline()
	var next atomic.Uint64
	var bad atomic.Int32
	var played atomic.Uint64
	var all sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		all.Go(func() {
			for bad.Load() < 3 {
				seed := next.Add(1) - 1
				if seed >= uint64(seeds) || longSchedules() && ends && time.Until(deadline) < spareTime {
					return
				}
				if err := play(seed); err != nil {
					bad.Add(1)
					t.Errorf("seed %d: %v", seed, err)
				}
				if n := played.Add(1); n%1000 == 0 {
					t.Logf("%d schedules played, %d failed", n, bad.Load())
				}
			}
		})
	}
	all.Wait()
	t.Logf("%d of %d schedules played, %d failed", played.Load(), seeds, bad.Load())
}

// spareTime is how long before the test's deadline the last schedule may start.
const spareTime = 25 * time.Second

// The shares never add up to more than 1 in random schedules of faults, with a few relays in many schedules
// and with fifty in some. After each schedule the faults end, and all relays must agree on a view.
func TestSharesNeverExceedOne(t *testing.T) {
	few, fifty := 600, 12
	if longSchedules() {
		few, fifty = 100_000, 10_000
	}
	play := func(n, bootstrapSize, steps int, heal float64) func(uint64) error {
		return func(seed uint64) error {
			sim := playRandomSchedule(n+int(seed%4), bootstrapSize+int(seed%3), seed, steps, nil)
			if err := sim.heal(heal); err != nil {
				return fmt.Errorf("after all faults have ended: %w", err)
			}
			if sim.maxSum > 1 {
				return fmt.Errorf("the shares of %d relays added up to %v, want 1 at most",
					len(sim.relays), sim.maxSum)
			}
			return nil
		}
	}
	t.Run("few", func(t *testing.T) { forEachSeed(t, few, play(3, 2, 30, 25000)) })
	t.Run("fifty", func(t *testing.T) { forEachSeed(t, fifty, play(50, 20, 12, 40000)) })
}

// The schedules of TestSharesNeverExceedOne must detect it when any one of the safeguards is switched off.
func TestSharesNeedTheirProtections(t *testing.T) {
	for what, without := range map[string]func(*Node){
		"the joint view":     func(n *Node) { n.safeguards.jointViews = false },
		"the waiting time":   func(n *Node) { n.safeguards.earlierViewsExpireAfter = 300 * time.Millisecond },
		"the lease duration": func(n *Node) { n.safeguards.leaseDuration = time.Minute },
		"the safety margin":  func(n *Node) { n.safeguards.safetyMargin = 0 },
		"the effect delay":   func(n *Node) { n.safeguards.maxEffectDelay = 0 },
		"the slot release":   func(n *Node) { n.safeguards.releasesSlots = false },
	} {
		found := uint64(0)
		for seed := uint64(1); seed < 3000 && found == 0; seed++ {
			if playRandomSchedule(3+int(seed%4), 2+int(seed%3), seed, 30, without).maxSum > 1+1e-9 {
				found = seed
			}
		}
		if found == 0 {
			t.Errorf("without %s no schedule exceeded a sum of 1, want at least one to detect it", what)
		}
		t.Logf("without %s the shares exceed 1 at seed %d (0 for none)", what, found)
	}
}
