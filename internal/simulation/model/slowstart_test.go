package model

import (
	"os"
	"slices"
	"testing"
	"time"
)

// All relays together send a server in slow start no more than its budget, whatever their number, also when
// most of them are restarted in the middle of a release and their clients reconnect. Each relay draws its
// share of the budget at random, so the sum varies by chance: two roots of N and two beyond N are allowed for
// it, and no run here uses them up. The runs differ in their seeds.
func TestSlowStartBudgetByNumberOfRelays(t *testing.T) {
	sizes := []int{1, 3, 20, 30}
	if os.Getenv("CAPERSAIL_LONG") == "1" {
		sizes = append(sizes, 300)
	}
	for _, relays := range sizes {
		for _, conns := range []int{100, 900} {
			for _, groups := range []bool{false, true} {
				var overruns []float64
				usedServers, newServers := 0, 0
				for seed := range uint64(12) {
					f := newTestFleet(t, Config{Seed: seed, Relays: relays, Servers: 12, Connections: conns,
						Utilisation: 0.45,
						GroupWork:   groups})
					f.StartAll()
					f.Advance(9 * time.Second)
					for i := range 6 {
						f.After(time.Duration(i)*time.Second, func() {
							f.ReplaceServer(f.Servers[i],
								3*time.Second)
						})
					}
					f.Advance(4500 * ms) // two servers have been replaced, and the new ones are in slow start
					restarted := f.Relays[:(relays*7+9)/10]
					for _, r := range restarted {
						f.KillRelay(r)
					}
					f.Advance(500 * ms)
					for _, r := range restarted {
						f.StartRelay(r, f.EndpointList())
					}
					f.Advance(14 * time.Second)
					overruns = append(overruns, f.Tally.SlowStartOverrun)
					for _, s := range f.Servers[12:] {
						if newServers++; s.Placed > 0 {
							usedServers++
						}
					}
					if f.Tally.LatestDrainForward > 500*ms {
						t.Errorf("%d relays, seed %d: forward more than 500 ms after a drain: %v",
							relays, seed, &f.Tally)
					}
				}
				slices.Sort(overruns)
				t.Logf("%3d relays, %d connections, groups %v: of what makes a cold server fall %.2f in half of the plays, %.2f at most; %d of %d new ones in use",
					relays, conns, groups, overruns[len(overruns)/2], overruns[len(overruns)-1],
					usedServers, newServers)
				if overruns[len(overruns)-1] > 1 || usedServers*2 < newServers {
					t.Errorf("%d relays, %d connections, groups %v: overrun %.2f, want 1; %d of %d new used",
						relays,
						conns, groups,
						overruns[len(overruns)-1], usedServers, newServers)
				}
			}
		}
	}
}
