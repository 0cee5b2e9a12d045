package gossip

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"

	"capersail/internal/fleet/membership"
)

// queuedStatuses are the statuses that a Node would broadcast next, as "name seq".
func nextBroadcastStatuses(t *testing.T, n *Node) (queued map[string]bool) {
	t.Helper()
	queued = map[string]bool{}
	for _, data := range (*delegate)(n).GetBroadcasts(2, maxPacketBytes) {
		e, err := decodeEnvelope(data)
		if err != nil {
			t.Fatal(err)
		}
		queued[fmt.Sprintf("%s %d", e.From, e.Seq)] = true
	}
	return queued
}

// The newest status of each relay is broadcast, however often it was replaced before it could be sent and
// whatever its length. Guards against a relay's status that is dropped for another relay's.
func TestEachRelaysNewestStatusIsBroadcast(t *testing.T) {
	for replaced := range uint64(5) {
		n, err := New(testConfig("r1", filepath.Join(t.TempDir(), "r1")))
		if err != nil {
			t.Fatal(err)
		}
		status := membership.Status{Version: 1, Incarnation: 1, BootstrapSize: 3}
		for range replaced + 1 {
			status.Seq++
			n.publishStatus(status)
		}
		peer, err := encodeEnvelope("r2", 1, status.Seq, kindStatus, status)
		if err != nil {
			t.Fatal(err)
		}
		n.receiveEnvelope(peer, true)
		queued := nextBroadcastStatuses(t, n)
		for _, name := range []string{"r1", "r2"} {
			if want := fmt.Sprintf("%s %d", name, status.Seq); len(queued) != 2 || !queued[want] {
				t.Errorf("replaced %d times: %v is queued, without %q", replaced, queued, want)
			}
		}
	}
}

// Each message is taken as often as the fleet's size asks for, those first that were taken least often, and
// no more of them at once than fit. Guards against messages that never leave, or crowd out others.
func TestQueueTakesEachMessageSoOften(t *testing.T) {
	const (
		overhead = 3
		size     = 10
	)
	q := newBroadcastQueue(2, func() int { return 100 }) // 2 * 3 digits
	data := func(name string) []byte { return []byte(fmt.Sprintf("%*s", size, name)) }
	taken := map[string]int{}
	take := func(limit int) (count int) {
		for _, one := range q.take(overhead, limit) {
			taken[strings.TrimSpace(string(one))]++
			count++
		}
		return count
	}
	for i := range 5 {
		q.add(fmt.Sprint(i), data(fmt.Sprint(i)))
	}
	if n := take(2*(overhead+size) + overhead + size - 1); n != 2 {
		t.Errorf("%d messages taken where two fit", n)
	}
	q.add("new", data("new"))
	take(4 * (overhead + size))
	if taken["new"] != 1 || taken["2"] != 1 || taken["0"] != 1 {
		t.Errorf("those that were sent do not come last: %v", taken)
	}
	for take(1000) > 0 {
	}
	for name, n := range taken {
		if n != 6 {
			t.Errorf("%s was taken %d times", name, n)
		}
	}
	if len(taken) != 6 || len(q.byName) != 0 {
		t.Errorf("taken %v, left %d", taken, len(q.byName))
	}
}
