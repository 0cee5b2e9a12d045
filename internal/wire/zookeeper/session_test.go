package zookeeper

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"capersail/internal/relay"
	"capersail/internal/testing/fake"
)

// eventLog records what happens to a session.
type eventLog struct {
	mu       sync.Mutex
	events   []string
	sessions []int64
}

func (w *eventLog) add(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events = append(w.events, fmt.Sprintf(format, args...))
}

func (w *eventLog) Connected(session int64, granted, _ time.Duration) {
	w.mu.Lock()
	w.sessions = append(w.sessions, session)
	w.mu.Unlock()
	w.add("connected for %v ms", granted.Milliseconds())
}
func (w *eventLog) Disconnected()                { w.add("disconnected") }
func (w *eventLog) Expired()                     { w.add("expired") }
func (w *eventLog) AnswerReceived(time.Duration) {}

func (w *eventLog) awaitEvent(t *testing.T, want string, times int) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); ; time.Sleep(time.Millisecond) {
		w.mu.Lock()
		n := 0
		for _, what := range w.events {
			if what == want {
				n++
			}
		}
		w.mu.Unlock()
		if n >= times {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%q never came %d times: %q", want, times, w.events)
		}
	}
}

func startSession(t *testing.T) (*fake.ZooKeeper, *Session, *eventLog) {
	t.Helper()
	return startSessionWithTimeout(t, time.Second)
}

// startSessionWithTimeout starts a session of a time-out.
func startSessionWithTimeout(t *testing.T, timeout time.Duration) (*fake.ZooKeeper, *Session, *eventLog) {
	t.Helper()
	zk, err := fake.NewZooKeeper("/a")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(zk.Close)
	w := &eventLog{}
	s := NewSession([]string{zk.Address}, timeout, relay.NewClock(), w, zerolog.Nop())
	go s.Run(t.Context())
	w.awaitEvent(t, fmt.Sprintf("connected for %d ms", timeout.Milliseconds()), 1)
	return zk, s, w
}

// awaitAnswer makes a request and waits for its answer.
func awaitAnswer(f func(done func(Answer))) Answer {
	c := make(chan Answer, 1)
	f(func(a Answer) { c <- a })
	return <-c
}

func TestRequests(t *testing.T) {
	zk, s, _ := startSession(t)
	for i, k := range []struct {
		name string
		do   func(func(Answer))
		want Code
		also func(Answer) bool // what else is to hold, if anything
	}{
		{"create", func(f func(Answer)) { s.Create("/a/x", []byte("1"), false, f) }, OK, nil},
		{"again", func(f func(Answer)) { s.Create("/a/x", []byte("2"), false, f) }, NodeExists, nil},
		{"without a parent", func(f func(Answer)) { s.Create("/b/x", nil, false, f) }, NoNode, nil},
		{"get", func(f func(Answer)) { s.Get("/a/x", f) }, OK, func(a Answer) bool {
			return string(a.Data) == "1" && a.Stat.Version == 0
		}},
		{"get what is not there", func(f func(Answer)) { s.Get("/a/y", f) }, NoNode, nil},
		{"set", func(f func(Answer)) { s.Set("/a/x", []byte("3"), 0, f) }, OK, func(a Answer) bool {
			return a.Stat.Version == 1
		}},
		{"set an old version", func(f func(Answer)) { s.Set("/a/x", []byte("4"), 0, f) }, BadVersion, nil},
		{"a child of its own", func(f func(Answer)) { s.Create("/a/x/holder", nil, true, f) }, OK, nil},
		{"exists", func(f func(Answer)) { s.Exists("/a/x/holder", f) }, OK, func(a Answer) bool {
			return a.Stat.EphemeralOwner != 0
		}},
		{"delete with a child", func(f func(Answer)) { s.Delete("/a/x", -1, f) }, NotEmpty, nil},
		{"children", func(f func(Answer)) { s.Children("/a/x", f) }, OK, func(a Answer) bool {
			return slices.Equal(a.Children, []string{"holder"})
		}},
		{"sync", func(f func(Answer)) { s.Sync("/a/x", f) }, OK, nil},
		{"all or nothing: nothing", func(f func(Answer)) {
			s.Multi([]Step{SetStep("/a/x", []byte("5"), 1), CreateStep("/a/x/holder", nil, true)}, f)
		}, NodeExists, nil},
		{"and nothing was done", func(f func(Answer)) { s.Get("/a/x", f) }, OK, func(a Answer) bool {
			return string(a.Data) == "3" && a.Stat.Version == 1
		}},
		{"the first fails", func(f func(Answer)) {
			s.Multi([]Step{CheckStep("/a/x", 7), CreateStep("/a/z", nil, false)}, f)
		}, BadVersion, nil},
		{"all or nothing: all", func(f func(Answer)) {
			s.Multi([]Step{
				CheckStep("/a/x", 1),
				SetStep("/a/x", []byte("6"), 1),
				CreateStep("/a/z", nil, false),
			}, f)
		}, OK, func(a Answer) bool { return a.Stat.Version == 2 }},
		{"delete", func(f func(Answer)) { s.Delete("/a/z", -1, f) }, OK, nil},
	} {
		if a := awaitAnswer(k.do); a.Code != k.want || k.also != nil && !k.also(a) {
			t.Errorf("%d, %s: %+v, want code %d", i, k.name, a, k.want)
		}
	}
	s.Close(time.Second)
	if left := zk.Nodes("/a/x"); !slices.Equal(left, []string{"/a/x"}) {
		t.Errorf("after the session's end: %q", left)
	}
}

// A session outlives its connection and its address; what was outstanding when it broke is answered
// ConnectionLoss; the expiry of a session is notified.
func TestSessionSurvivesItsConnection(t *testing.T) {
	zk, s, w := startSession(t)
	second, err := zk.ListenAgain()
	if err != nil {
		t.Fatal(err)
	}
	awaitAnswer(func(f func(Answer)) { s.Create("/a/mine", nil, true, f) })
	s.mu.Lock()
	s.addresses = append(s.addresses, second)
	s.mu.Unlock()
	zk.Close() // the first address is gone for good
	w.awaitEvent(t, "connected for 1000 ms", 2)
	if w.sessions[0] != w.sessions[1] || len(zk.Nodes("/a/mine")) != 1 {
		t.Errorf("sessions %v, %q", w.sessions, zk.Nodes("/a"))
	}
	zk.DropAnswers(1)
	swallowed := awaitAnswer(func(f func(Answer)) { s.Multi([]Step{CreateStep("/a/lost", nil, true)}, f) })
	if swallowed.Code != ConnectionLoss {
		t.Errorf("an answer that never came: %+v", swallowed)
	}
	if len(zk.Nodes("/a/lost")) != 1 {
		t.Error("and yet it was done")
	}
	w.awaitEvent(t, "connected for 1000 ms", 3)
	zk.ExpireSessions()
	w.awaitEvent(t, "expired", 1)
	w.awaitEvent(t, "connected for 1000 ms", 4)
	if w.sessions[3] == w.sessions[2] {
		t.Error("a forgotten session was taken up")
	}
	s.SetAddresses([]string{second}) // as at a reload
	w.awaitEvent(t, "connected for 1000 ms", 5)
	zk.SetFrozen(true) // silence ends a connection, too, and everything out is answered
	if a := awaitAnswer(func(f func(Answer)) { s.Get("/a", f) }); a.Code != ConnectionLoss {
		t.Errorf("from a frozen service: %+v", a)
	}
	zk.SetFrozen(false)
}

// FuzzNoFrameMakesTheDecoderPanic: no frame makes the reader panic, or read without end.
func FuzzNoFrameMakesTheDecoderPanic(f *testing.F) {
	f.Add(int32(opMulti), []byte{0, 0, 0, 5, 0, 0, 0, 0, 0})
	f.Add(int32(opGetChildren), []byte{0x7f, 0xff, 0xff, 0xff, 0, 0, 0, 1, 'x'})
	f.Add(int32(opGetData), make([]byte, 80))
	f.Fuzz(func(_ *testing.T, op int32, p []byte) { decodeAnswer(op, OK, &decoder{rest: p}) })
}

// A session that every address refuses for its whole time is over, and another begins. Guards against
// ownership that cannot be had again once the service has lost changes that the session has seen.
func TestSessionBeginsAnewWhereEveryReplicaIsBehind(t *testing.T) {
	zk, s, w := startSession(t)
	if a := awaitAnswer(func(f func(Answer)) { s.Create("/a/x", nil, false, f) }); a.Code != OK {
		t.Fatalf("create: %+v", a)
	}
	zk.SetBehind(1)
	zk.ResetConnections()
	w.awaitEvent(t, "expired", 1)
	w.awaitEvent(t, "connected for 1000 ms", 2)
}

// A second Close returns at once where the first has waited in vain, and with it where they come together.
// Guards against a shutdown that waits out its time twice for a service that does not answer.
func TestSecondCloseDoesNotWait(t *testing.T) {
	const timeout = 10 * time.Second
	zk, s, _ := startSessionWithTimeout(t, 4*timeout)
	zk.SetFrozen(true)
	t.Cleanup(func() { zk.SetFrozen(false) })
	began := time.Now()
	s.Close(50 * time.Millisecond)
	var closes sync.WaitGroup
	for range 3 {
		closes.Go(func() { s.Close(timeout) })
	}
	closes.Wait()
	if took := time.Since(began); took > timeout/2 {
		t.Errorf("the closes took %v", took)
	}
}
