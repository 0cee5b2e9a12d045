package model

import (
	"testing"
	"time"
)

func TestDbg(t *testing.T) {
	for _, relays := range []int{9, 60} {
		for _, guess := range []bool{true, false} {
			var most, load, hot, refused, worst float64
			const seeds = 4
			for seed := range uint64(seeds) {
				f := fleet(t, Config{Seed: seed, Relays: relays, Servers: 12, Conns: 1200, Part: 0.6, Talk: true, Guess: guess})
				f.Begin()
				f.settle(t, 20*time.Second, "at first")
				f.Pass(10 * time.Second)
				m, _ := f.spread(40 * time.Second)
				most += m/seeds
				for range 100 {
					f.Pass(100*ms)
					load += f.fullest()/100/seeds
				}
				f.Tally.Hot, f.Tally.Served = 0,0
				r := f.Tally.Counts["refused: no room"]
				troubles["six in ten servers replaced within 7 s"](f)
				for range 100 {
					f.Pass(100*ms)
					worst = max(worst, f.fullest())
				}
				hot += f.Tally.Overdriven()/seeds
				refused += float64(f.Tally.Counts["refused: no room"]-r)/seeds
			}
			t.Logf("%d relays guess %v: most %.3f load %.3f | hot %.4f refused %.0f worst %.2f", relays, guess, most, load, hot, refused, worst)
		}
	}
}
