package scale

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"capersail/internal/fleet/membership"
	"capersail/internal/simulation/network"
)

// failureObserver records when each relay has learned that a killed relay has failed.
type failureObserver struct {
	mu            sync.Mutex
	awaitedName   string
	killedAt      time.Time
	detectedAfter map[int]time.Duration // by relay: time from killedAt; nil before expect
}

func (d *failureObserver) record(relay int, c membership.StateChanged) {
	d.mu.Lock()
	defer d.mu.Unlock()
	gone := c.State == membership.HealthFailed.String() || c.State == membership.HealthLeft.String()
	if c.Kind != membership.ChangePeer || c.Name != d.awaitedName || !gone || d.detectedAfter == nil {
		return
	}
	if _, known := d.detectedAfter[relay]; !known {
		d.detectedAfter[relay] = time.Since(d.killedAt)
	}
}

// expect starts recording the failure of a relay that is killed now.
func (d *failureObserver) expect(relay int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.awaitedName = Name(relay)
	d.killedAt = time.Now()
	d.detectedAfter = map[int]time.Duration{}
}

// summary returns after what time the relays of the same zone, and all others, learned of the failure.
func (d *failureObserver) summary(f *Fleet, dead int) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var near, far []time.Duration
	missing := 0
	for i, r := range f.relays {
		took, known := d.detectedAfter[i]
		switch {
		case i == dead:
		case !known:
			missing++
		case r.Place.Zone == f.relays[dead].Place.Zone:
			near = append(near, took)
		default:
			far = append(far, took)
		}
	}
	return fmt.Sprintf("death known in the same zone after %v to %v, elsewhere after %v to %v, not by %d of %d",
		first(near), last(near), first(far), last(far), missing, len(f.relays)-1)
}

func first(all []time.Duration) time.Duration {
	if len(all) == 0 {
		return -1
	}
	return slices.Min(all).Round(time.Millisecond)
}

func last(all []time.Duration) time.Duration {
	if len(all) == 0 {
		return -1
	}
	return slices.Max(all).Round(time.Millisecond)
}

// eventColumns are the column headings of printEvent's table.
var eventColumns = []string{
	"event",
	"relays",
	"seconds",
	"out at rest, B/s",
	"out, B/s",
	"out, 99th / worst second of any relay",
	"in, 99th / worst",
	"CPU at rest, ms a second",
	"CPU, ms a second",
	"out in the fleet's worst second, B a relay",
	"packets of that second over the rest's",
}

// printEvent prints the cost of an event as a table row.
func printEvent(what string, rest, g Figures) {
	var worst network.Sample
	for _, s := range g.Seconds {
		if s.WireOut() > worst.WireOut() {
			worst = s
		}
	}
	relays := float64(max(rest.Relays, 1))
	fmt.Println(tableRow([]string{
		what,
		fmt.Sprint(rest.Relays),
		fmt.Sprintf("%.0f", g.Took.Seconds()),
		fmt.Sprintf("%.0f", rest.Out.Mean),
		fmt.Sprintf("%.0f", g.Out.Mean),
		fmt.Sprintf("%.0f / %.0f", g.Out.P99, g.Out.MaxSecond),
		fmt.Sprintf("%.0f / %.0f", g.In.P99, g.In.MaxSecond),
		fmt.Sprintf("%.2f", rest.CPUMillis),
		fmt.Sprintf("%.2f", g.CPUMillis),
		fmt.Sprintf("%.0f", float64(worst.Out())/relays),
		fmt.Sprintf("%.1f", float64(worst.PacketsOut)/(rest.Packets.Mean*relays)),
	}))
}

// restDuration is how long a fleet is measured at rest before an event.
const restDuration = 20 * time.Second

// startAtRest starts a fleet and measures it at rest. The caller stops it.
func startAtRest(t *testing.T, c Config) (f *Fleet, rest Figures, cost time.Duration) {
	t.Helper()
	cost = PacketCost(LargeLayout)
	f = startFleet(t, c)
	awaitSettled(t, f)
	f.Network.SetPacketLoss(0.01)
	time.Sleep(statusSpreadTime)
	return f, f.Measure(restDuration, cost), cost
}

// sizeFromFlags returns the configuration that the flags of the long tests select.
func sizeFromFlags() Config {
	return Config{Relays: *relays, StartSpread: *startSpread, Servers: *servers, CellsPerZone: *cellsPerZone}
}

// printOneView waits until all relays hold one view, and prints how long it took.
func printOneView(f *Fleet, what string) {
	took, err := f.AwaitOneView(time.Minute)
	if err != nil {
		fmt.Printf("%s: %v\n", what, err)
		return
	}
	fmt.Printf("%s: one view of all after %.1f s\n", what, took.Seconds())
}

// Prints the cost of restarts one after the other, scaled to 310 relays that restart once a day, and the cost
// of a relay that dies.
func TestEventRestarts(t *testing.T) {
	skipUnlessLong(t)
	inVirtualTime(t, func(t *testing.T) {
		const restarts, every, away = 6, 10 * time.Second, 2 * time.Second
		var d failureObserver
		c := sizeFromFlags()
		c.OnChange = d.record
		f, rest, cost := startAtRest(t, c)
		defer f.Stop()
		fmt.Println(tableHead(eventColumns))
		o := f.Observe(cost)
		for i := range restarts {
			relay := (i*37 + 11) % c.Relays
			f.StopRelay(relay, true)
			time.Sleep(away)
			if err := f.StartRelay(relay); err != nil {
				t.Fatal(err)
			}
			time.Sleep(every - away)
		}
		g := o.End()
		printEvent(fmt.Sprintf("%d restarts, one in %s", restarts, every), rest, g)
		const aSecond = 310.0 / 86400
		bytes := (g.Out.Mean - rest.Out.Mean) * g.Took.Seconds() / restarts
		millis := (g.CPUMillis - rest.CPUMillis) * g.Took.Seconds() / restarts
		fmt.Printf("a restart costs each relay %.0f bytes out, and %.1f ms; ", bytes, millis)
		fmt.Printf("310 a day: %.1f B/s and %.4f ms a second more in the mean\n", bytes*aSecond, millis*aSecond)
		printOneView(f, "after the restarts")
		dead := 5
		d.expect(dead)
		o = f.Observe(cost)
		f.StopRelay(dead, false)
		printOneView(f, "a relay dies")
		time.Sleep(5 * time.Second)
		printEvent("a relay dies", rest, o.End())
		fmt.Println(d.summary(f, dead))
	})
}

// Prints the cost of the loss of a zone, and of the return of its relays.
func TestEventZoneLost(t *testing.T) {
	skipUnlessLong(t)
	inVirtualTime(t, func(t *testing.T) {
		f, rest, cost := startAtRest(t, sizeFromFlags())
		defer f.Stop()
		fmt.Println(tableHead(eventColumns))
		zone := f.relays[3].Place.Zone
		var inside []int
		for i, r := range f.relays {
			if r.Place.Zone == zone {
				inside = append(inside, i)
			}
		}
		o := f.Observe(cost)
		var stopping sync.WaitGroup
		for _, i := range inside {
			stopping.Go(func() { f.StopRelay(i, false) })
		}
		stopping.Wait()
		printOneView(f, fmt.Sprintf("%s of %d relays is lost", zone, len(inside)))
		time.Sleep(5 * time.Second)
		printEvent("a zone is lost", rest, o.End())
		o = f.Observe(cost)
		for _, i := range inside {
			if err := f.StartRelay(i); err != nil {
				t.Fatal(err)
			}
		}
		printOneView(f, "it is back")
		time.Sleep(5 * time.Second)
		printEvent("it is back", rest, o.End())
	})
}

// Prints the cost of a region that is isolated for a while.
func TestEventRegionCutOff(t *testing.T) {
	skipUnlessLong(t)
	inVirtualTime(t, func(t *testing.T) {
		f, rest, cost := startAtRest(t, sizeFromFlags())
		defer f.Stop()
		fmt.Println(tableHead(eventColumns))
		const cutFor = 25 * time.Second
		region := network.InRegion("region-1")
		o := f.Observe(cost)
		f.Network.Isolate("region", region)
		time.Sleep(cutFor)
		printEvent("a region is cut off", rest, o.End())
		fmt.Printf("views held at the end of the cut: %+v\n", f.State())
		o = f.Observe(cost)
		f.Network.Heal("region")
		printOneView(f, "it is healed")
		time.Sleep(5 * time.Second)
		printEvent("it is healed", rest, o.End())
	})
}
