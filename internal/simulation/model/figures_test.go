package model

import (
	"os"
	"testing"
	"time"

	"gonum.org/v1/plot/plotter"

	"capersail/internal/testing/cluster"
)

// Relays that share their placements keep the servers' loads closer together than relays that estimate their
// peers' placements from load reports. Estimates overload servers while six in ten are replaced, and spread
// the loads in normal operation.
func TestSharedPlacementsBeatEstimatedOnes(t *testing.T) {
	var load, overloaded, worst [2]float64 // with estimated placements, with shared ones
	const seeds = 3
	for seed := range uint64(seeds) {
		for i, estimate := range []bool{true, false} {
			f := newTestFleet(t, Config{Seed: seed, Relays: 60, Servers: 12, Connections: 1200,
				Utilisation: 0.6, Peering: true, EstimatePlacements: estimate})
			f.StartAll()
			f.awaitAgreement(t, 20*time.Second, "at first")
			f.Advance(5 * time.Second)
			for range 100 {
				f.Advance(100 * ms)
				load[i] += f.maxRelativeLoad() / 100 / seeds
			}
			f.Tally.OverloadedTime, f.Tally.ServedTime = 0, 0
			faultScenarios["six in ten servers replaced within 7 s"](f)
			for range 60 {
				f.Advance(100 * ms)
				worst[i] = max(worst[i], f.maxRelativeLoad())
			}
			overloaded[i] += f.Tally.OverloadedFraction() / seeds
		}
	}
	t.Logf("guessed: fullest server at %.3f of the mean in the calm, %.2f after a release, overdriven %.4f of the time; summed: %.3f, %.2f, %.4f",
		load[0], worst[0], overloaded[0], load[1], worst[1], overloaded[1])
	if load[1] > load[0] || worst[1] > worst[0] || overloaded[1] > overloaded[0] {
		t.Error("shared placements gave a worse spread of load or more overload than estimated ones")
	}
}

// The probes a second that a server gets grow with the number of relays only where relays do not share
// readings. The test measures both and bounds the rate with shared readings.
func TestProbesByRelays(t *testing.T) {
	sizes := []int{10, 30, 100}
	if os.Getenv("CAPERSAIL_LONG") == "1" {
		sizes = append(sizes, 300)
	}
	lines := make([]plotter.XYs, 2)
	for _, n := range sizes {
		var each [2]float64
		for i, withPeering := range []bool{true, false} {
			f := newTestFleet(t, Config{Seed: 3, Relays: n, Servers: 30, Connections: 3000, Utilisation: 0.5,
				Peering: withPeering})
			f.StartAll()
			if withPeering {
				f.awaitAgreement(t, 30*time.Second, "at first")
			}
			f.Advance(6 * time.Second)
			before := f.Tally.Counts["probes"]
			f.Advance(8 * time.Second)
			each[i] = float64(f.Tally.Counts["probes"]-before) / 8 / 30
			lines[i] = append(lines[i], plotter.XY{X: float64(n), Y: each[i]})
		}
		t.Logf("%d relays: %.2f probes a second at a server with talk, %.2f without", n, each[0], each[1])
		if each[0] > 2.1 {
			t.Errorf("%d relays with shared readings: %.2f probes a second at a server, want 2.1 at most",
				n, each[0])
		}
	}
	if path := os.Getenv("CAPERSAIL_CHART"); path != "" {
		if err := cluster.WriteChart(path,
			cluster.Panel{Title: "Probes a second at a server: 30 servers, 75 requests a second in all",
				X: "relays", Y: "probes a second", LogX: true,
				Names: []string{"looks by turns", "each for itself (as it stood)"},
				Lines: lines}); err != nil {
			t.Fatal(err)
		}
	}
}
