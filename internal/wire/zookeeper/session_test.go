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

// eventLog records the events of a session.
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

// awaitEvent waits until an event has been recorded a number of times.
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
			t.Fatalf("event %q did not occur %d times within 30 s: %q", want, times, w.events)
		}
	}
}

func startSession(t *testing.T) (*fake.ZooKeeper, *Session, *eventLog) {
	t.Helper()
	return startSessionWithTimeout(t, time.Second)
}

// startSessionWithTimeout starts a fake service and a session with the time-out.
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

// awaitAnswer calls f, which makes a request, and waits for the answer.
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
		also func(Answer) bool // an additional check of the answer; may be nil
	}{
		{"create", func(f func(Answer)) { s.Create("/a/x", []byte("1"), false, f) }, OK, nil},
		{"again", func(f func(Answer)) { s.Create("/a/x", []byte("2"), false, f) }, NodeExists, nil},
		{"create without a parent", func(f func(Answer)) { s.Create("/b/x", nil, false, f) }, NoNode, nil},
		{"get", func(f func(Answer)) { s.Get("/a/x", f) }, OK, func(a Answer) bool {
			return string(a.Data) == "1" && a.Stat.Version == 0
		}},
		{"get a missing node", func(f func(Answer)) { s.Get("/a/y", f) }, NoNode, nil},
		{"set", func(f func(Answer)) { s.Set("/a/x", []byte("3"), 0, f) }, OK, func(a Answer) bool {
			return a.Stat.Version == 1
		}},
		{"set an old version", func(f func(Answer)) { s.Set("/a/x", []byte("4"), 0, f) }, BadVersion, nil},
		{"create ephemeral child", func(f func(Answer)) { s.Create("/a/x/holder", nil, true, f) }, OK, nil},
		{"exists", func(f func(Answer)) { s.Exists("/a/x/holder", f) }, OK, func(a Answer) bool {
			return a.Stat.EphemeralOwner != 0
		}},
		{"delete with a child", func(f func(Answer)) { s.Delete("/a/x", -1, f) }, NotEmpty, nil},
		{"children", func(f func(Answer)) { s.Children("/a/x", f) }, OK, func(a Answer) bool {
			return slices.Equal(a.Children, []string{"holder"})
		}},
		{"sync", func(f func(Answer)) { s.Sync("/a/x", f) }, OK, nil},
		{"multi whose last step fails", func(f func(Answer)) {
			s.Multi([]Step{SetStep("/a/x", []byte("5"), 1), CreateStep("/a/x/holder", nil, true)}, f)
		}, NodeExists, nil},
		{"get after the failed multi", func(f func(Answer)) { s.Get("/a/x", f) }, OK, func(a Answer) bool {
			return string(a.Data) == "3" && a.Stat.Version == 1
		}},
		{"multi whose first step fails", func(f func(Answer)) {
			s.Multi([]Step{CheckStep("/a/x", 7), CreateStep("/a/z", nil, false)}, f)
		}, BadVersion, nil},
		{"multi that succeeds", func(f func(Answer)) {
			s.Multi([]Step{
				CheckStep("/a/x", 1),
				SetStep("/a/x", []byte("6"), 1),
				CreateStep("/a/z", nil, false),
			}, f)
		}, OK, func(a Answer) bool { return a.Stat.Version == 2 }},
		{"delete", func(f func(Answer)) { s.Delete("/a/z", -1, f) }, OK, nil},
	} {
		if a := awaitAnswer(k.do); a.Code != k.want || k.also != nil && !k.also(a) {
			t.Errorf("request %d, %s: answer %+v, want code %d", i, k.name, a, k.want)
		}
	}
	s.Close(time.Second)
	if left := zk.Nodes("/a/x"); !slices.Equal(left, []string{"/a/x"}) {
		t.Errorf("nodes after Close: %q, want no ephemeral child", left)
	}
}

// A session continues after the loss of its connection, also at another address. Requests outstanding at the
// loss end with ConnectionLoss. The expiry of a session is notified.
func TestSessionSurvivesItsConnection(t *testing.T) {
	zk, s, w := startSession(t)
	second, err := zk.AddListener()
	if err != nil {
		t.Fatal(err)
	}
	awaitAnswer(func(f func(Answer)) { s.Create("/a/mine", nil, true, f) })
	s.mu.Lock()
	s.addresses = append(s.addresses, second)
	s.mu.Unlock()
	zk.Close() // the first address is unreachable from now on
	w.awaitEvent(t, "connected for 1000 ms", 2)
	if w.sessions[0] != w.sessions[1] || len(zk.Nodes("/a/mine")) != 1 {
		t.Errorf("sessions %v and nodes %q, want one session and its node", w.sessions, zk.Nodes("/a"))
	}
	zk.DropAnswers(1)
	swallowed := awaitAnswer(func(f func(Answer)) { s.Multi([]Step{CreateStep("/a/lost", nil, true)}, f) })
	if swallowed.Code != ConnectionLoss {
		t.Errorf("request whose answer was dropped: %+v, want ConnectionLoss", swallowed)
	}
	if len(zk.Nodes("/a/lost")) != 1 {
		t.Error("node /a/lost does not exist, want the request with the dropped answer executed")
	}
	w.awaitEvent(t, "connected for 1000 ms", 3)
	zk.ExpireSessions()
	w.awaitEvent(t, "expired", 1)
	w.awaitEvent(t, "connected for 1000 ms", 4)
	if w.sessions[3] == w.sessions[2] {
		t.Error("an expired session was resumed, want a new one")
	}
	s.SetAddresses([]string{second}) // as at a reload
	w.awaitEvent(t, "connected for 1000 ms", 5)
	zk.SetFrozen(true) // a silent connection ends too, with all its requests
	if a := awaitAnswer(func(f func(Answer)) { s.Get("/a", f) }); a.Code != ConnectionLoss {
		t.Errorf("answer of a frozen service: %+v, want ConnectionLoss", a)
	}
	zk.SetFrozen(false)
}

// FuzzNoFrameMakesTheDecoderPanic checks that no frame makes the decoder panic or loop endlessly.
func FuzzNoFrameMakesTheDecoderPanic(f *testing.F) {
	f.Add(int32(opMulti), []byte{0, 0, 0, 5, 0, 0, 0, 0, 0})
	f.Add(int32(opGetChildren), []byte{0x7f, 0xff, 0xff, 0xff, 0, 0, 0, 1, 'x'})
	f.Add(int32(opGetData), make([]byte, 80))
	f.Fuzz(func(_ *testing.T, op int32, p []byte) { decodeAnswer(op, OK, &decoder{rest: p}) })
}

// A session that all addresses refuse for its whole time-out ends, and a new one begins. Guards against a
// relay that can never acquire ownership again after the service has lost changes that the session has seen.
func TestSessionBeginsAnewWhereEveryReplicaIsBehind(t *testing.T) {
	zk, s, w := startSession(t)
	if a := awaitAnswer(func(f func(Answer)) { s.Create("/a/x", nil, false, f) }); a.Code != OK {
		t.Fatalf("create: %+v", a)
	}
	zk.SetReplicaLag(1)
	zk.ResetConnections()
	w.awaitEvent(t, "expired", 1)
	w.awaitEvent(t, "connected for 1000 ms", 2)
}

// After a first Close that timed out, further calls of Close return at once, also concurrent ones. Guards
// against a shutdown that waits for the time-out twice when the service does not answer.
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
		t.Errorf("all calls of Close took %v, want little more than 50 ms", took)
	}
}
