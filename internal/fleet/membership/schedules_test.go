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

// drainAndBlockInbound lets a relay drain and come back, so that the others' shares shrink, and one of them get
// nothing of that until all leases have run out.
func (w *simulatedFleet) drainAndBlockInbound(i int) {
	clear(w.partitioned)
	w.handle(i, LocalState{Lifecycle: LifecycleDraining, RequestRate: 10, EndpointListGeneration: 1})
	w.run(6000 + 1000*w.rng.Float64())
	w.blockInboundNext = true
	w.handle(i, LocalState{Lifecycle: LifecycleServing, RequestRate: 10, EndpointListGeneration: 1})
	w.run(6000)
	w.blockInboundNext = false
	for _, n := range w.relays {
		n.inboundBlocked = false
	}
}

// partition cuts the net in two or three.
func (w *simulatedFleet) partition() {
	n := len(w.relays)
	parts, of := 2+w.rng.IntN(2), make([]int, n)
	for j := range of {
		of[j] = w.rng.IntN(parts)
	}
	for a := range n {
		for b := range n {
			w.partitioned[[2]int{a, b}] = of[a] != of[b]
		}
	}
}

// playRandomSchedule plays one schedule of faults.
func playRandomSchedule(n, bootstrapSize int, seed uint64, steps int, change func(*Node)) *simulatedFleet {
	bootstrapSize = min(bootstrapSize, n)
	w := newSimulatedFleet(n, bootstrapSize, seed)
	w.withoutSafeguard = change
	w.injectFaults(bootstrapSize, seed, steps)
	return w
}

// injectFaults plays one schedule of faults.
func (w *simulatedFleet) injectFaults(bootstrapSize int, seed uint64, steps int) {
	n := len(w.relays)
	w.lossRate, w.duplicationRate = 0.2*w.rng.Float64()*float64(seed%2), 0.1*float64(seed%3)/2
	for i := range n {
		if i < bootstrapSize || w.rng.IntN(2) == 0 {
			w.start(i)
		}
		if w.rng.IntN(3) == 0 {
			w.run(200 * w.rng.Float64())
		}
	}
	for range steps {
		i := w.rng.IntN(n)
		switch x := w.relays[i]; w.rng.IntN(12) {
		case 0:
			w.kill(i)
		case 1, 2:
			if !x.running {
				w.start(i)
			}
		case 3:
			if x.running {
				w.kill(i)
				w.run(300 * w.rng.Float64())
				w.start(i)
			}
		case 4:
			if x.running {
				x.paused = true
			}
		case 5:
			if x.running && x.paused {
				w.resume(i)
			}
		case 6: // a partition: each to one of two or three
			w.partition()
		case 7: // one way
			for range 1 + n/3 {
				w.partitioned[[2]int{i, w.rng.IntN(n)}] = true
			}
		case 8:
			clear(w.partitioned)
		case 9:
			if x.running && !x.paused {
				w.handle(i, LocalState{
					Lifecycle: []Lifecycle{LifecycleServing, LifecycleDraining,
						LifecycleLeaving}[w.rng.IntN(3)],
					RequestRate: 10, EndpointListGeneration: 1})
			}
		// a relay comes to serve, and at the moment of the view that shrinks the others' shares one of them
		// goes deaf
		case 10:
			if x.running && !x.paused {
				w.drainAndBlockInbound(i)
			}
		}
		if w.rng.IntN(2) == 0 {
			w.run(300 * w.rng.Float64())
		} else {
			w.run(5000 * w.rng.Float64())
		}
	}
}

// heal ends all faults and waits for agreement.
func (w *simulatedFleet) heal(within float64) error {
	clear(w.partitioned)
	w.lossRate, w.duplicationRate = 0, 0
	for i, n := range w.relays {
		switch {
		case !n.running:
			w.start(i)
		case n.paused:
			w.resume(i)
		}
		if n.node.localState.Lifecycle != LifecycleServing { // who has said that it leaves goes, and comes back
			w.kill(i)
			w.start(i)
		}
	}
	for until := w.now + within; w.now < until; {
		w.run(500)
		if w.checkAgreement() == nil {
			return nil
		}
	}
	return w.checkAgreement()
}

// longSchedules tells whether the long schedules are asked for; docs/measurements/members.md has
// their command and result.
func longSchedules() bool { return os.Getenv("CAPERSAIL_LONG") == "1" }

// forEachSeed runs a schedule for each seed on all cores, and reports the first seeds that fail. A
// slice of the long schedules ends before the test's deadline, and says how many were played.
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

// spareTime is how long before a test's deadline no schedule is begun any more.
const spareTime = 25 * time.Second

// The promise, over drawn schedules: a few relays in many, fifty in some. After each the faults end, and
// all agree.
func TestSharesNeverExceedOne(t *testing.T) {
	few, fifty := 600, 12
	if longSchedules() {
		few, fifty = 100_000, 10_000
	}
	play := func(n, bootstrapSize, steps int, heal float64) func(uint64) error {
		return func(seed uint64) error {
			w := playRandomSchedule(n+int(seed%4), bootstrapSize+int(seed%3), seed, steps, nil)
			if err := w.heal(heal); err != nil {
				return fmt.Errorf("after the heal: %w", err)
			}
			if w.maxSum > 1 {
				return fmt.Errorf("the shares of %d relays added up to %v", len(w.relays), w.maxSum)
			}
			return nil
		}
	}
	t.Run("few", func(t *testing.T) { forEachSeed(t, few, play(3, 2, 30, 25000)) })
	t.Run("fifty", func(t *testing.T) { forEachSeed(t, fifty, play(50, 20, 12, 40000)) })
}

// Each protection taken out is found out by the same schedules.
func TestSharesNeedTheirProtections(t *testing.T) {
	for what, without := range map[string]func(*Node){
		"the joint view": func(k *Node) { k.safeguards.jointViews = false },
		"the wait":       func(k *Node) { k.safeguards.earlierViewsExpireAfter = 300 * time.Millisecond },
		"the grant":      func(k *Node) { k.safeguards.leaseDuration = time.Minute },
		"the grace":      func(k *Node) { k.safeguards.safetyMargin = 0 },
		"the effect":     func(k *Node) { k.safeguards.maxEffectDelay = 0 },
		"the pledge":     func(k *Node) { k.safeguards.releasesSlots = false },
	} {
		found := uint64(0)
		for seed := uint64(1); seed < 3000 && found == 0; seed++ {
			if playRandomSchedule(3+int(seed%4), 2+int(seed%3), seed, 30, without).maxSum > 1+1e-9 {
				found = seed
			}
		}
		if found == 0 {
			t.Errorf("without %s no schedule was found in which the shares exceed one", what)
		}
		t.Logf("without %s the shares exceed one at seed %d", what, found)
	}
}
