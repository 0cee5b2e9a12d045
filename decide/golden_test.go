package decide

import (
	"fmt"
	"math"
	"os"
	"strings"
	"testing"
)

// goldenFile holds a line for each seed: the seed, a hash of all that the Balancer answered over that
// seed's course of events, and how many actions these were.
const (
	goldenFile  = "testdata/golden_actions.txt"
	goldenSeeds = 320
)

// A refactoring changes no decision: the same drawn courses of events bring the same actions, and the same
// views to those who watch, bit by bit and in the same order, random draws included. A change that is meant
// to decide otherwise writes the file anew, and says so:
//
//	CAPERSAIL_WRITE_GOLDEN=1 go test ./decide -run TestGoldenActions
//
// The hashes hold on amd64; a processor that fuses multiplication and addition may round otherwise.
func TestGoldenActions(t *testing.T) {
	var got strings.Builder
	for seed := range uint64(goldenSeeds) {
		c := newGoldenCourse(t, seed)
		c.play()
		fmt.Fprintf(&got, "%d %016x %d\n", seed, c.hash, c.actions)
	}
	if os.Getenv("CAPERSAIL_WRITE_GOLDEN") != "" {
		if err := os.WriteFile(goldenFile, []byte(got.String()), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	text, err := os.ReadFile(goldenFile)
	if err != nil {
		t.Fatal(err)
	}
	want, have := strings.Split(string(text), "\n"), strings.Split(got.String(), "\n")
	if len(want) != len(have) {
		t.Fatalf("%d lines in %s, %d seeds played", len(want), goldenFile, len(have))
	}
	differ := 0
	for i := range want {
		if want[i] == have[i] {
			continue
		}
		if differ++; differ <= 10 {
			t.Errorf("seed, hash, actions: %s, want %s", have[i], want[i])
		}
	}
	if differ > 10 {
		t.Errorf("%d seeds differ in all", differ)
	}
}

// observe hashes what those see who watch.
func (c *goldenCourse) observe() {
	c.views = c.b.ProbePool(make([]PooledServer, 0, goldenPick(c, 3, 64, 400)))
	c.add(uint64(len(c.views)))
	for _, v := range c.views {
		c.add(uint64(v.Server), math.Float64bits(v.EstimatedLoad))
		c.add(uint64(v.ReadingAge), goldenBool(v.InSlowStart))
	}
	c.add(uint64(c.b.EjectedCount()))
}

func goldenBool(is bool) uint64 {
	if is {
		return 1
	}
	return 0
}

// hashAction writes an action as numbers: names may change, these may not.
func (c *goldenCourse) hashAction(act Action) {
	switch a := act.(type) {
	case Forward:
		c.add(1, uint64(a.ID), uint64(a.Server), uint64(a.Timeout))
	case Reject:
		c.add(2, uint64(a.ID), uint64(a.RetryAfter), uint64(a.Reason))
	case Fail:
		c.add(3, uint64(a.ID), uint64(a.Reason))
	case Migrate:
		c.add(4, uint64(a.ID))
	case Probe:
		c.add(5, uint64(a.Server))
	case Timer:
		c.add(6, uint64(a.After), a.Token)
	case Subscribe:
		c.add(7)
	case FetchSnapshot:
		c.add(8)
	case CancelAttempt:
		c.add(9, uint64(a.ID), uint64(a.Attempt))
	case CloseIdleConnections:
		c.add(10, uint64(a.Server))
	case SendToPeer:
		c.add(11, uint64(a.Peer), uint64(len(a.Data)))
	case Log:
		c.add(12, uint64(len(a.Text)))
	default:
		c.t.Fatal("an action of a type that the golden test does not know")
	}
}

// add mixes numbers into the hash: FNV-1a over their eight bytes each.
func (c *goldenCourse) add(numbers ...uint64) {
	for _, n := range numbers {
		for range 8 {
			c.hash = (c.hash ^ n&0xff) * 1099511628211
			n >>= 8
		}
	}
}
