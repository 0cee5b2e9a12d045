package scale

import (
	"flag"
	"fmt"
	"math"
	"os"
	"testing"
	"testing/synctest"
	"time"
)

// Flags of the long tests, so that each size is measured by a run of its own.
var (
	relays       = flag.Int("relays", 100, "number of relays in the long tests")
	startSpread  = flag.Duration("spread", 0, "time over which the relays of the long tests are started")
	servers      = flag.Int("servers", 0, "number of servers whose load reports the relays share in the long tests")
	cellsPerZone = flag.Int("cells", 0, "number of cells in each zone in the long tests; 0 for a flat fleet")
	watch        = flag.Duration("watch", 101*time.Second, "duration of a measurement in the long tests")
	realTime     = flag.Bool("realtime", false, "run the long tests in real time")
)

// inVirtualTime runs f in virtual time, or in real time if -realtime is set.
func inVirtualTime(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	if *realTime {
		f(t)
		return
	}
	synctest.Test(t, f)
}

// skipUnlessLong skips a test that takes minutes, unless CAPERSAIL_LONG is 1.
func skipUnlessLong(t *testing.T) {
	t.Helper()
	if os.Getenv("CAPERSAIL_LONG") != "1" {
		t.Skip("takes minutes; set CAPERSAIL_LONG=1 to run it")
	}
}

// startFleet starts a fleet in the large layout. The caller stops it.
func startFleet(t *testing.T, c Config) *Fleet {
	t.Helper()
	c.Dir = t.TempDir()
	c.Layout = LargeLayout
	f, err := Start(c)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// awaitSettled waits until a fleet has settled.
func awaitSettled(t *testing.T, f *Fleet) {
	t.Helper()
	if _, err := f.AwaitSettled(5 * time.Minute); err != nil {
		f.Stop()
		t.Fatal(err)
	}
}

// statusSpreadTime is how long a newly formed fleet goes on gossiping its first statuses; measurements at
// rest start after it.
const statusSpreadTime = 6 * time.Second

// measureAtRest measures a fleet at rest with a packet loss of one in a hundred.
func measureAtRest(t *testing.T, c Config, over time.Duration) Figures {
	t.Helper()
	cost := PacketCost(LargeLayout)
	f := startFleet(t, c)
	defer f.Stop()
	awaitSettled(t, f)
	f.Network.SetPacketLoss(0.01)
	time.Sleep(statusSpreadTime)
	return f.Measure(over, cost)
}

// statusTerm returns how many statuses a relay of a flat fleet gossips in a second, by the number of relays.
// As implemented, each relay sends its own status once in max(1 s, 50 ms x relays), and each relay forwards
// each status 3 x ceil(log10(relays+1)) times.
func statusTerm(relays int) float64 {
	n := float64(relays)
	return n / max(1, 0.05*n) * 3 * math.Ceil(math.Log10(n+1))
}

// pushPullTerm returns how many relays' states a relay sends in push-pulls in a second: those of all relays,
// once in 15 s x (1 + ceil(log2(relays/32))).
func pushPullTerm(relays int) float64 {
	n := float64(relays)
	intervalSeconds := 15.0
	if n > 32 {
		intervalSeconds *= 1 + math.Ceil(math.Log2(n)-5)
	}
	return n / intervalSeconds
}

// costModel is the bytes that a relay sends in a second by the number of relays: a fixed part (probes,
// leases, framing), and the bytes of each unit of statusTerm and pushPullTerm.
type costModel struct {
	fixed, status, pushPull float64
}

// fitCostModel fits the bytes of each term to the kinds of traffic measured at some sizes, by least squares
// through the origin.
func fitCostModel(measured []Figures) (p costModel) {
	var statusXY, statusXX, pushXY, pushXX float64
	for _, g := range measured {
		statuses, pushPull := g.KindRate(Statuses), g.KindRate(PushPull)
		x := statusTerm(g.Relays)
		statusXY += x * statuses
		statusXX += x * x
		x = pushPullTerm(g.Relays)
		pushXY += x * pushPull
		pushXX += x * x
		p.fixed += (g.Out.Mean - statuses - pushPull) / float64(len(measured))
	}
	p.status = statusXY / statusXX
	p.pushPull = pushXY / pushXX
	return p
}

func (p costModel) predict(relays int) float64 {
	return p.fixed + p.status*statusTerm(relays) + p.pushPull*pushPullTerm(relays)
}

// The traffic of a relay depends on the number of relays only as the terms of costModel say: a larger size is
// predicted from smaller ones. The tolerance covers push-pulls and statuses that fall into one window of 16 s
// and not into the next, since a relay of the largest size has a push-pull in 30 s and a status in 2 s. The
// test fails if relays send their statuses every second whatever their number.
func TestRelayTrafficFollowsCostModel(t *testing.T) {
	const over, tolerance, larger = 16 * time.Second, 0.1, 40
	var measured []Figures
	for _, n := range []int{8, 16, 24} {
		synctest.Test(t, func(t *testing.T) {
			measured = append(measured, measureAtRest(t, Config{Relays: n}, over))
		})
		t.Logf("%d relays: %.0f bytes out a relay a second", n, measured[len(measured)-1].Out.Mean)
	}
	var got float64
	synctest.Test(t, func(t *testing.T) {
		got = measureAtRest(t, Config{Relays: larger}, over).Out.Mean
	})
	model := fitCostModel(measured)
	want := model.predict(larger)
	t.Logf("%d relays: %.0f bytes out a relay a second, predicted %.0f by %+v; 600: %.0f, 1100: %.0f",
		larger, got, want, model, model.predict(600), model.predict(1100))
	if math.Abs(got/want-1) > tolerance {
		t.Errorf("%d relays: %.0f bytes out a relay a second, predicted %.0f; want an error of 0.1 at most",
			larger, got, want)
	}
}

// Prints the measured figures of one size, for docs/measurements/capacity.md.
func TestCostOfSize(t *testing.T) {
	skipUnlessLong(t)
	inVirtualTime(t, func(t *testing.T) {
		figures := measureAtRest(t, sizeFromFlags(), *watch)
		fmt.Printf("%s\n%s\n%s", Header(), figures.Row(), figures.KindRows())
		fmt.Printf("streams opened a second %.3f, goroutines a relay %.1f, packets dropped for want of room %d, ",
			figures.Streams, figures.Goroutines, figures.OverflowedPackets)
		fmt.Printf("real time %.1f s, processor time %.1f s\n",
			figures.RealTook.Seconds(), figures.RealCPU.Seconds())
	})
}

// Prints the progress of a fleet's forming by the second, and the time and CPU that it takes.
func TestForming(t *testing.T) {
	skipUnlessLong(t)
	inVirtualTime(t, func(t *testing.T) {
		use := startUsage()
		f := startFleet(t, sizeFromFlags())
		defer f.Stop()
		done := make(chan struct{})
		defer close(done)
		go printProgress(f, done, use)
		took, err := f.AwaitOneView(2 * time.Minute)
		fmt.Printf("one view %s after the last start, %v; %s\n", took, err, use)
		took, err = f.AwaitSettled(time.Minute)
		fmt.Printf("settled %s after that, %v; %s; dropped %v, for want of room %d\n",
			took, err, use, f.Dropped(), f.Network.OverflowedPackets())
	})
}

// resourceUsage is a start of measuring the real and CPU time that this process takes.
type resourceUsage struct {
	real, cpu time.Duration
}

func startUsage() resourceUsage { return resourceUsage{real: machineNow(), cpu: processorTime()} }

// String returns the time taken since the start.
func (u resourceUsage) String() string {
	return fmt.Sprintf("real time %.1f s, processor time %.1f s",
		(machineNow() - u.real).Seconds(), (processorTime() - u.cpu).Seconds())
}

// printProgress prints a line a second until done is closed.
func printProgress(f *Fleet, done <-chan struct{}, use resourceUsage) {
	megabytes := func(t Traffic, k TrafficKind) uint64 { return t[k].Bytes / 1e6 }
	for startedAt := time.Now(); ; {
		select {
		case <-done:
			return
		case <-time.After(time.Second):
		}
		t := f.traffic.snapshot()
		fmt.Printf("%5.1f s %+v; %s; MB sent: views %d, push-pull %d, statuses %d, liveness %d\n",
			time.Since(startedAt).Seconds(), f.State(), use,
			megabytes(t, Views), megabytes(t, PushPull), megabytes(t, Statuses), megabytes(t, Liveness))
	}
}
