package cluster

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// After any drawn schedule of faults and its heal, relays hold one view. CAPERSAIL_REPLAY names a file with a
// schedule to be played instead.
func TestDrawnSchedules(t *testing.T) {
	if file := os.Getenv("CAPERSAIL_REPLAY"); file != "" {
		schedule, err := ReadSchedule(file)
		if err != nil {
			t.Fatal(err)
		}
		playSchedule(t, schedule)
		return
	}
	seeds := uint64(2)
	if longRun() {
		seeds = 40
	}
	for seed := range seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			if !longRun() || seed%4 != 3 {
				t.Parallel()
			}
			playSchedule(t, DrawSchedule(seed, 7, 14))
		})
	}
}

// playSchedule plays a schedule on seven relays. If the test fails, the schedule is left in a file.
func playSchedule(t *testing.T, schedule []Step) {
	t.Helper()
	fleet := newCluster(t, Layout{Relays: 7}, 7)
	await(t, waitLimit()+10*time.Second, "at first", fleet.checkSettled)
	file := filepath.Join(os.TempDir(), strings.ReplaceAll(t.Name(), "/", "-")+".json")
	if err := WriteSchedule(file, schedule); err != nil {
		t.Fatal(err)
	}
	defer func() {
		if !t.Failed() {
			os.Remove(file)
			return
		}
		t.Logf("to play it again: CAPERSAIL_REPLAY=%s go test ./internal/testing/cluster -run TestDrawnSchedules",
			file)
	}()
	if err := fleet.RunSchedule(schedule); err != nil {
		t.Fatal(err)
	}
	startAll(t, fleet)
	if err := fleet.Heal(); err != nil {
		t.Fatal(err)
	}
	took := await(t, waitLimit()+5*time.Second, "after the heal", fleet.checkAgreed)
	t.Logf("one view %v after the heal", took.Round(10*time.Millisecond))
}
