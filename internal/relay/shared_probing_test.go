package relay

import (
	"testing"
	"time"

	"github.com/rs/zerolog"

	"capersail/decide"
	"capersail/internal/fleet/probing"
)

// fakePeers are two relays that only listen.
type fakePeers struct{ participantCalls, readings, placements int }

func (p *fakePeers) Participants() ([]probing.Relay, uint64) {
	p.participantCalls++
	return []probing.Relay{{Name: "here", Zone: "z"}, {Name: "there", Zone: "z"}}, 1
}

func (p *fakePeers) SendReadings(string, []probing.Reading)          { p.readings++ }
func (p *fakePeers) SendPlacements(string, []probing.PlacementDelta) { p.placements++ }

// newSharedLoop returns an event loop that shares probing with another relay, on a clock that stands still.
func newSharedLoop(t *testing.T) (loopTest, *fakePeers) {
	t.Helper()
	table, dialer := newTestTable(testSettings(), decide.ClassInfo{Deadline: time.Second})
	table.UpdateEndpoints(decide.Snapshot, readyEndpoints("a", "b", "c"))
	peers := &fakePeers{}
	loop := NewEventLoop(table, 7, &fakeDiscovery{}, zerolog.Nop())
	loop.SharedProbing = NewSharedProbing(table, "here", 7, peers, func(string) {})
	return loopTest{EventLoop: loop, dialer: dialer, clock: table.Clock}, peers
}

// awaitAssignment lets time pass until the assignment, which is made beside the event loop, has come.
func (l loopTest) awaitAssignment(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); len(l.SharedProbing.serverIDs) == 0; {
		if time.Now().After(end) {
			t.Fatal("no assignment comes")
		}
		l.advance(5 * time.Millisecond)
		time.Sleep(time.Millisecond)
	}
}

// A relay that shares probing probes by its assignment and passes on what it read.
func TestSharedProbingProbesAndPassesReadingsOn(t *testing.T) {
	l, peers := newSharedLoop(t)
	l.awaitAssignment(t)
	l.advance(5 * time.Second)
	if l.dialer.probes == 0 || peers.readings == 0 {
		t.Errorf("%d probes, %d batches of readings sent", l.dialer.probes, peers.readings)
	}
	if report, ok := l.SharedProbing.Report(); !ok || len(report.Servers) != 3 {
		t.Errorf("report %+v, %v", report, ok)
	}
	var off *SharedProbing
	if _, ok := off.Report(); ok {
		t.Error("a relay that shares nothing has a report")
	}
}

// Who takes part is looked at each participantsInterval, and the same participants are not assigned again.
func TestParticipantsAreAssignedOnce(t *testing.T) {
	l, peers := newSharedLoop(t)
	l.awaitAssignment(t)
	stamp := l.SharedProbing.participantsFingerprint
	asked := peers.participantCalls
	l.advance(10 * participantsInterval)
	if got := peers.participantCalls - asked; got < 9 || got > 10 {
		t.Errorf("asked %d times in ten intervals", got)
	}
	if l.SharedProbing.participantsFingerprint != stamp || l.SharedProbing.assignmentPending {
		t.Error("the same participants are assigned again")
	}
}

// A flood of peers' messages must not fill the inbox without end.
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
		t.Errorf("%d batches are queued", queued)
	}
}
