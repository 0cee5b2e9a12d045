package gossip

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"

	"capersail/internal/fleet/membership"
)

// nextBroadcastStatuses returns the statuses that a Node would broadcast next, as a set of "name seq".
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

// The newest status of each relay is broadcast, no matter how often it was replaced before it could be sent,
// and no matter how long it is. Guards against a relay's status that is lost because another relay's status
// takes its place in the queue.
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
				t.Errorf("status replaced %d times: queued %v, want two statuses with %q among them",
					replaced, queued, want)
			}
		}
	}
}

// Each message is transmitted as many times as the number of relays requires. Messages with the fewest
// transmissions come first, and no more are taken at once than fit into the limit. Guards against messages
// that stay in the queue for ever or keep others from being sent.
func TestQueueTransmitsEachMessageUpToLimit(t *testing.T) {
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
		t.Errorf("took %d messages, want 2: that many fit into the limit", n)
	}
	q.add("new", data("new"))
	take(4 * (overhead + size))
	if taken["new"] != 1 || taken["2"] != 1 || taken["0"] != 1 {
		t.Errorf("transmissions by message: %v, want 1 each of new, 2 and 0: fewest come first", taken)
	}
	for take(1000) > 0 {
	}
	for name, n := range taken {
		if n != 6 {
			t.Errorf("message %s was taken %d times, want 6", name, n)
		}
	}
	if len(taken) != 6 || len(q.byName) != 0 {
		t.Errorf("transmissions by message: %v, messages left in the queue: %d; want 6 messages, 0 left",
			taken, len(q.byName))
	}
}
