package decide

import (
	"fmt"
	"math"
	"os"
	"strings"
	"testing"
)

// goldenFile has a line for each seed: the seed, a hash of all actions and views that the Balancer returned
// for that seed's sequence of events, and the number of actions.
const (
	goldenFile  = "testdata/golden_actions.txt"
	goldenSeeds = 320
)

// A refactoring must not change a decision: the same sequences of events must produce the same actions and
// views, bit by bit and in the same order, including all random draws. A change that is meant to change
// decisions rewrites the file, and its commit says so:
//
//	CAPERSAIL_WRITE_GOLDEN=1 go test ./decide -run TestGoldenActions
//
// The hashes are valid on amd64; a processor that fuses multiplication and addition may round differently.
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
		t.Fatalf("%d lines in %s, %d wanted, one for each seed", len(want), goldenFile, len(have))
	}
	differ := 0
	for i := range want {
		if want[i] == have[i] {
			continue
		}
		if differ++; differ <= 10 {
			t.Errorf("seed, hash, number of actions: %s, want %s", have[i], want[i])
		}
	}
	if differ > 10 {
		t.Errorf("%d seeds differ in total", differ)
	}
}

// observe hashes the read-only views of the Balancer.
func (c *goldenCourse) observe() {
	c.views = c.b.ProbePool(make([]PooledServer, 0, goldenPick(c, 3, 64, 400)))
	c.hashNumbers(uint64(len(c.views)))
	for _, v := range c.views {
		c.hashNumbers(uint64(v.Server), math.Float64bits(v.EstimatedLoad))
		c.hashNumbers(uint64(v.ReadingAge), goldenBool(v.InSlowStart))
	}
	c.hashNumbers(uint64(c.b.EjectedCount()))
}

func goldenBool(is bool) uint64 {
	if is {
		return 1
	}
	return 0
}

// hashAction hashes an action as numbers, which must not change, while names may.
func (c *goldenCourse) hashAction(act Action) {
	switch a := act.(type) {
	case Forward:
		c.hashNumbers(1, uint64(a.ID), uint64(a.Server), uint64(a.Timeout))
	case Reject:
		c.hashNumbers(2, uint64(a.ID), uint64(a.RetryAfter), uint64(a.Reason))
	case Fail:
		c.hashNumbers(3, uint64(a.ID), uint64(a.Reason))
	case Migrate:
		c.hashNumbers(4, uint64(a.ID))
	case Probe:
		c.hashNumbers(5, uint64(a.Server))
	case Timer:
		c.hashNumbers(6, uint64(a.After), a.Token)
	case Subscribe:
		c.hashNumbers(7)
	case FetchSnapshot:
		c.hashNumbers(8)
	case CancelAttempt:
		c.hashNumbers(9, uint64(a.ID), uint64(a.Attempt))
	case CloseIdleConnections:
		c.hashNumbers(10, uint64(a.Server))
	case SendToPeer:
		c.hashNumbers(11, uint64(a.Peer), uint64(len(a.Data)))
	case Log:
		c.hashNumbers(12, uint64(len(a.Text)))
	default:
		c.t.Fatal("unknown action type: add it to hashAction with a number of its own")
	}
}

// hashNumbers mixes numbers into the hash: FNV-1a over the eight bytes of each.
func (c *goldenCourse) hashNumbers(numbers ...uint64) {
	for _, n := range numbers {
		for range 8 {
			c.hash = (c.hash ^ n&0xff) * 1099511628211
			n >>= 8
		}
	}
}
