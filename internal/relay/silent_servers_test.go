package relay

import (
	"testing"
	"time"

	"capersail/internal/observe/recorder"
)

// A line that nothing comes back for tells of a silent server; at 7 s the connection would be lost.
func TestAClientIsMigratedOffASilentServer(t *testing.T) {
	l := newLoopTest(t)
	r := open(l.table, 0)
	l.advance(20 * time.Millisecond)
	server := establish(r)
	l.exchangeLines(r)
	if migrating, _ := r.Migrating(); migrating {
		t.Fatal("migrated off a sound server")
	}
	r.LineSent()
	l.advance(silentAfter + sweepInterval + 5*time.Millisecond)
	if migrating, silent := r.Migrating(); !migrating || !silent || server.wakes == 0 {
		t.Fatalf("migrating %v, silent %v, woken %d times", migrating, silent, server.wakes)
	}
}

// Where no class has an objective for messages, one that comes back soon is not slow, and one that nothing
// comes back for is.
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
		t.Errorf("%d messages of 5 ms count as slow", n)
	}
	r.LineSent()
	l.advance(slowMessageAfter + sweepInterval + 5*time.Millisecond)
	if takeSlowMessages() == 0 {
		t.Error("a line that nothing came back for does not count as slow")
	}
}
