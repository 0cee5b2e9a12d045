package relay

import (
	"testing"
	"time"

	"capersail/internal/observe/recorder"
)

// A client is migrated off a server that does not answer a line, before its connection would be lost at 7 s.
func TestAClientIsMigratedOffASilentServer(t *testing.T) {
	l := newLoopTest(t)
	r := open(l.table, 0)
	l.advance(20 * time.Millisecond)
	server := establish(r)
	l.exchangeLines(r)
	if migrating, _ := r.Migrating(); migrating {
		t.Fatal("client of a server that answers is migrating, want it to stay")
	}
	r.LineSent()
	l.advance(silentAfter + sweepInterval + 5*time.Millisecond)
	if migrating, silent := r.Migrating(); !migrating || !silent || server.wakes == 0 {
		t.Fatalf("got migrating %v, server silent %v, %d wakes; want true, true, at least 1",
			migrating, silent, server.wakes)
	}
}

// If no class has a latency objective for messages, a message that is answered soon is not slow, and a
// message that is not answered is slow.
func TestSlowMessagesWithoutAnObjective(t *testing.T) {
	l := newLoopTest(t)
	l.table.deployment.Settings.Classes[0].MessageLatencyObjective = 0
	l.table.Recorder = recorder.New(100)
	r := open(l.table, 0)
	l.advance(20 * time.Millisecond)
	establish(r)
	takeSlowMessages := func() (n int) {
		for _, rec := range l.table.Recorder.TakeAll(nil) {
			if rec.Kind == recorder.MessageDelayed {
				n++
			}
		}
		return n
	}
	l.exchangeLines(r)
	if n := takeSlowMessages(); n > 0 {
		t.Errorf("%d messages answered after 5 ms count as slow, want 0", n)
	}
	r.LineSent()
	l.advance(slowMessageAfter + sweepInterval + 5*time.Millisecond)
	if takeSlowMessages() == 0 {
		t.Error("unanswered line does not count as a slow message, want it to")
	}
}
