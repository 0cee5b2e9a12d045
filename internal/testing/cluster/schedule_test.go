package cluster

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// Drawn schedules. CAPERSAIL_REPLAY names a file with one to be played instead.
func TestDrawnSchedules(t *testing.T) {
	seeds := 2
	if long() {
		seeds = 40
	}
	play := func(t *testing.T, all []Step) {
		g := lay(t, Plan{Relays: 7}, 7)
		await(t, patience()+10*time.Second, "at first", g.settled)
		file := filepath.Join(os.TempDir(), strings.ReplaceAll(t.Name(), "/", "-")+".json")
		Write(file, all)
		defer func() {
			if !t.Failed() {
				os.Remove(file)
				return
			}
			t.Logf("to play it again: CAPERSAIL_REPLAY=%s go test ./internal/testing/cluster -run TestDrawnSchedules", file)
		}()
		if err := g.Play(all); err != nil {
			t.Fatal(err)
		}
		for i := range g.Relays {
			g.Start(i)
		}
		if err := g.Heal(); err != nil {
			t.Fatal(err)
		}
		t.Logf("one view %v after the heal", await(t, patience()+5*time.Second, "after the heal", g.agreed).Round(10*time.Millisecond))
	}
	if file := os.Getenv("CAPERSAIL_REPLAY"); file != "" {
		all, err := Read(file)
		if err != nil {
			t.Fatal(err)
		}
		play(t, all)
		return
	}
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			if !long() || seed%4 != 3 {
				t.Parallel()
			}
			play(t, Draw(seed, 7, 14))
		})
	}
}
