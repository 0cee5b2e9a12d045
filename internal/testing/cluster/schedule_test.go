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
	if longRun() {
		seeds = 40
	}
	play := func(t *testing.T, all []Step) {
		fleet := newCluster(t, Layout{Relays: 7}, 7)
		await(t, waitLimit()+10*time.Second, "at first", fleet.checkSettled)
		file := filepath.Join(os.TempDir(), strings.ReplaceAll(t.Name(), "/", "-")+".json")
		WriteSchedule(file, all)
		defer func() {
			if !t.Failed() {
				os.Remove(file)
				return
			}
			t.Logf("to play it again: CAPERSAIL_REPLAY=%s go test ./internal/testing/cluster -run TestDrawnSchedules", file)
		}()
		if err := fleet.Play(all); err != nil {
			t.Fatal(err)
		}
		for i := range fleet.Relays {
			fleet.Start(i)
		}
		if err := fleet.Heal(); err != nil {
			t.Fatal(err)
		}
		t.Logf("one view %v after the heal", await(t, waitLimit()+5*time.Second, "after the heal", fleet.checkAgreed).Round(10*time.Millisecond))
	}
	if file := os.Getenv("CAPERSAIL_REPLAY"); file != "" {
		all, err := ReadSchedule(file)
		if err != nil {
			t.Fatal(err)
		}
		play(t, all)
		return
	}
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			if !longRun() || seed%4 != 3 {
				t.Parallel()
			}
			play(t, DrawSchedule(seed, 7, 14))
		})
	}
}
