package relay

import (
	"testing"
	"time"

	"github.com/rs/zerolog"

	"capersail/decide"
	"capersail/internal/fleet/probing"
)

// fakePeers is a Peers of two relays, this one and another. It counts its calls.
type fakePeers struct{ participantCalls, readings, placements int }

func (p *fakePeers) Participants() ([]probing.Relay, uint64) {
	p.participantCalls++
	return []probing.Relay{{Name: "here", Zone: "z"}, {Name: "there", Zone: "z"}}, 1
}

func (p *fakePeers) SendReadings(string, []probing.Reading)          { p.readings++ }
func (p *fakePeers) SendPlacements(string, []probing.PlacementDelta) { p.placements++ }

// newSharedLoop returns an event loop that shares probing with another relay and has a manual clock.
func newSharedLoop(t *testing.T) (loopTest, *fakePeers) {
	t.Helper()
	table, dialer := newTestTable(testSettings(), decide.ClassInfo{Deadline: time.Second})
	table.UpdateEndpoints(decide.Snapshot, readyEndpoints("a", "b", "c"))
	peers := &fakePeers{}
	loop := NewEventLoop(table, 7, &fakeDiscovery{}, zerolog.Nop())
	loop.SharedProbing = NewSharedProbing(table, "here", 7, peers, func(string) {})
	return loopTest{EventLoop: loop, dialer: dialer, clock: table.Clock}, peers
}

// awaitAssignment steps the loop until the assignment, which is computed in another goroutine, has arrived.
func (l loopTest) awaitAssignment(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); len(l.SharedProbing.serverIDs) == 0; {
		if time.Now().After(end) {
			t.Fatal("no assignment arrived within 10 s")
		}
		l.advance(5 * time.Millisecond)
		time.Sleep(time.Millisecond)
	}
}

// A relay that shares probing probes the servers assigned to it and sends the readings to its peers.
func TestSharedProbingProbesAndPassesReadingsOn(t *testing.T) {
	l, peers := newSharedLoop(t)
	l.awaitAssignment(t)
	l.advance(5 * time.Second)
	if l.dialer.probes == 0 || peers.readings == 0 {
		t.Errorf("got %d probes and %d sent batches of readings, want more than 0 of each",
			l.dialer.probes, peers.readings)
	}
	if report, ok := l.SharedProbing.Report(); !ok || len(report.Servers) != 3 {
		t.Errorf("got report %+v, %v; want a report on 3 servers", report, ok)
	}
	var off *SharedProbing
	if _, ok := off.Report(); ok {
		t.Error("nil SharedProbing returned a report, want none")
	}
}

// The participants are checked once per participantsInterval, and no new assignment is made while they stay
// the same.
func TestParticipantsAreAssignedOnce(t *testing.T) {
	l, peers := newSharedLoop(t)
	l.awaitAssignment(t)
	stamp := l.SharedProbing.participantsFingerprint
	asked := peers.participantCalls
	l.advance(10 * participantsInterval)
	if got := peers.participantCalls - asked; got < 9 || got > 10 {
		t.Errorf("participants were checked %d times in ten intervals, want 9 or 10", got)
	}
	if l.SharedProbing.participantsFingerprint != stamp || l.SharedProbing.assignmentPending {
		t.Error("new assignment for unchanged participants, want none")
	}
}

// The number of queued messages from peers is limited, so that a flood of them cannot fill the memory.
func TestPeersMessagesAreBounded(t *testing.T) {
	l, _ := newSharedLoop(t)
	for range maxQueuedBatches + 10 {
		l.SharedProbing.Receive(probing.ReadingsReceived{From: "there"})
	}
	queued := 0
	for _, ev := range l.table.takeInbox() {
		if _, ok := ev.(peerEvent); ok {
			queued++
		}
	}
	if queued != maxQueuedBatches {
		t.Errorf("got %d queued batches, want maxQueuedBatches", queued)
	}
}
