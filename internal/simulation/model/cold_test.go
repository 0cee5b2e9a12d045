package model

import (
	"os"
	"slices"
	"testing"
	"time"
)

// The sum of what all relays send to a server in slow start stays within its budget whatever their number,
// also where most of them have just been restarted in the middle of a release and their clients come again:
// each relay draws its part, and the draws add up by chance only. The spread is over seeds; beyond N two
// roots of N and two are put down to chance, and none of these runs uses them up.
func TestSlowStartBudgetByNumberOfRelays(t *testing.T) {
	sizes := []int{1, 3, 20, 30}
	if os.Getenv("CAPERSAIL_LONG") == "1" {
		sizes = append(sizes, 300)
	}
	for _, relays := range sizes {
		for _, conns := range []int{100, 900} {
			for _, groups := range []bool{false, true} {
				var spent []float64
				sends, allowed := 0, 0
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
					f.Advance(4500 * ms) // two are replaced, and in slow start
					most := f.Relays[:(relays*7+9)/10]
					for _, r := range most {
						f.KillRelay(r)
					}
					f.Advance(500 * ms)
					for _, r := range most {
						f.StartRelay(r, f.EndpointList())
					}
					f.Advance(14 * time.Second)
					spent = append(spent, f.Tally.SlowStartOverrun)
					for _, s := range f.Servers[12:] {
						if allowed++; s.Placed > 0 {
							sends++
						}
					}
					if f.Tally.LatestDrainForward > 500*ms {
						t.Errorf("%d relays, seed %d: %v", relays, seed, &f.Tally)
					}
				}
				slices.Sort(spent)
				t.Logf("%3d relays, %d connections, groups %v: of what makes a cold server fall %.2f in half of the plays, %.2f at most; %d of %d new ones in use",
					relays, conns, groups, spent[len(spent)/2], spent[len(spent)-1], sends, allowed)
				if spent[len(spent)-1] > 1 || sends*2 < allowed {
					t.Errorf("%d relays, %d connections, groups %v: %.2f of it; %d of %d in use", relays,
						conns, groups,
						spent[len(spent)-1], sends, allowed)
				}
			}
		}
	}
}
