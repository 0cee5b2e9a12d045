package model

import (
	"os"
	"testing"
	"time"

	"gonum.org/v1/plot/plotter"

	"capersail/internal/testing/cluster"
)

// What relays send to servers between two readings is summed where they tell it. Where it is guessed,
// servers are overdriven while six in ten are replaced, and loads lie further apart in the calm.
func TestPlacementsAreSummedNotGuessed(t *testing.T) {
	var load, hot, worst [2]float64 // guessed, summed
	const seeds = 3
	for seed := range uint64(seeds) {
		for i, guess := range []bool{true, false} {
			f := fleet(t, Config{Seed: seed, Relays: 60, Servers: 12, Connections: 1200, Utilisation: 0.6,
				Peering: true, GuessPlacements: guess})
			f.Begin()
			f.settle(t, 20*time.Second, "at first")
			f.Advance(5 * time.Second)
			for range 100 {
				f.Advance(100 * ms)
				load[i] += f.fullest() / 100 / seeds
			}
			f.Tally.Overloaded, f.Tally.Served = 0, 0
			troubles["six in ten servers replaced within 7 s"](f)
			for range 60 {
				f.Advance(100 * ms)
				worst[i] = max(worst[i], f.fullest())
			}
			hot[i] += f.Tally.OverloadedPart() / seeds
		}
	}
	t.Logf("guessed: fullest server at %.3f of the mean in the calm, %.2f after a release, overdriven %.4f of the time; summed: %.3f, %.2f, %.4f",
		load[0], worst[0], hot[0], load[1], worst[1], hot[1])
	if load[1] > load[0] || worst[1] > worst[0] || hot[1] > hot[0] {
		t.Error("summing is no better than guessing")
	}
}

// Probes a second at a server by the number of relays, with talk and without. With talk they grow with
// servers only.
func TestProbesByRelays(t *testing.T) {
	sizes := []int{10, 30, 100}
	if os.Getenv("CAPERSAIL_LONG") == "1" {
		sizes = append(sizes, 300)
	}
	lines := make([]plotter.XYs, 2)
	for _, n := range sizes {
		var each [2]float64
		for i, talk := range []bool{true, false} {
			f := fleet(t, Config{Seed: 3, Relays: n, Servers: 30, Connections: 3000, Utilisation: 0.5,
				Peering: talk})
			f.Begin()
			if talk {
				f.settle(t, 30*time.Second, "at first")
			}
			f.Advance(6 * time.Second)
			before := f.Tally.Counts["probes"]
			f.Advance(8 * time.Second)
			each[i] = float64(f.Tally.Counts["probes"]-before) / 8 / 30
			lines[i] = append(lines[i], plotter.XY{X: float64(n), Y: each[i]})
		}
		t.Logf("%d relays: %.2f probes a second at a server with talk, %.2f without", n, each[0], each[1])
		if each[0] > 2.1 {
			t.Errorf("%d relays: %.2f probes a second at a server", n, each[0])
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
