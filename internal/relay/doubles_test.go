package relay

import (
	"testing"
	"time"

	"github.com/rs/zerolog"

	"capersail/decide"
)

// fakeSide is a test double of both sides: a ServerDialer, a ClientConn and a ServerConn. It counts the calls
// that the table makes.
type fakeSide struct {
	attempts  []Attempt
	probes    int
	closes    int
	wakes     int
	hasUnread bool // result of HasUnread
}

func (s *fakeSide) StartAttempt(_ *Request, a Attempt) { s.attempts = append(s.attempts, a) }

func (s *fakeSide) Probe(_ Server, done func(decide.Status, decide.LoadReport)) {
	s.probes++
	done(decide.OK, decide.LoadReport{Load: 0.1, InFlight: -1, ErrorsPerSecond: -1, CPUUtilization: -1})
}

func (s *fakeSide) Forward([]byte) error { return nil }
func (s *fakeSide) Close(CloseKind)      { s.closes++ }
func (s *fakeSide) Wake()                { s.wakes++ }
func (s *fakeSide) HasUnread() bool      { return s.hasUnread }

// fakeLease is an ownership lease that counts its calls. Tests call OwnershipAcquired or OwnershipDenied
// themselves.
type fakeLease struct{ acquired, released int }

func (l *fakeLease) MustWait() bool   { return true }
func (l *fakeLease) Acquire(*Request) { l.acquired++ }
func (l *fakeLease) Release()         { l.released++ }

// fakeDiscovery is a Discovery that never delivers a list.
type fakeDiscovery struct{ watches int }

func (d *fakeDiscovery) Watch() { d.watches++ }
func (d *fakeDiscovery) Fetch() {}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// readyEndpoints returns an endpoint list of ready servers.
func readyEndpoints(ids ...string) (list []Endpoint) {
	for _, id := range ids {
		list = append(list, Endpoint{ID: id, Address: "127.0.0.1:1", State: decide.Ready})
	}
	return list
}

// newTestTable returns a table with the given classes and a manual clock, and the table's server side.
func newTestTable(s decide.Settings, classes ...decide.ClassInfo) (*RequestTable, *fakeSide) {
	s.Classes = classes
	dialer := &fakeSide{}
	return NewRequestTable(&Deployment{Settings: s}, NewManualClock(), dialer), dialer
}

// open opens a request with a timeout of 1 s.
func open(table *RequestTable, class decide.Class) *Request {
	return table.Open(RequestParams{Class: class, Timeout: time.Second}, &fakeSide{})
}

// startFirst starts the first attempt of a request at a server, as on a Forward of the decision module.
func startFirst(table *RequestTable, r *Request, to decide.ServerID) {
	table.startAttempt(decide.Forward{ID: r.ID, Server: to}, nil)
}

// establish establishes a request by its first attempt and returns the server side's connection.
func establish(r *Request) *fakeSide {
	conn := &fakeSide{}
	r.Attach(0, conn)
	r.BeginWrite(0)
	r.Establish(0)
	return conn
}

// testSettings returns settings of a single relay in one zone, with probing.
func testSettings() decide.Settings {
	return decide.Settings{
		Relays:        1,
		Zones:         1,
		MaxAttempts:   2,
		Probes:        true,
		RetryAfter:    true,
		MustSubscribe: true,
		MaxRetryAfter: time.Second,
		Tick:          5 * time.Millisecond,
	}
}

// loopTest is an event loop with a manual clock.
type loopTest struct {
	*EventLoop
	dialer *fakeSide
	clock  *Clock
}

// newLoopTest returns an event loop with one server, from an endpoint list of the configuration.
func newLoopTest(t *testing.T) loopTest {
	t.Helper()
	table, dialer := newTestTable(testSettings(), decide.ClassInfo{
		LatencyObjective:        300 * time.Millisecond,
		Deadline:                time.Second,
		MessageLatencyObjective: 50 * time.Millisecond,
	})
	table.UpdateEndpoints(decide.CachedSnapshot, readyEndpoints("a"))
	loop := NewEventLoop(table, 7, &fakeDiscovery{}, zerolog.Nop())
	loop.Step()
	return loopTest{EventLoop: loop, dialer: dialer, clock: table.Clock}
}

// advance advances the clock tick by tick and steps the loop after each tick.
func (l loopTest) advance(d time.Duration) {
	for end := l.clock.Now() + d; l.clock.Now() < end; {
		l.clock.Set(l.clock.Now() + 5*time.Millisecond)
		l.Step()
	}
}

// exchangeLines sends three lines, 2 s apart, each of which the server answers after 5 ms.
func (l loopTest) exchangeLines(r *Request) {
	for range 3 {
		r.LineSent()
		l.advance(5 * time.Millisecond)
		r.LineReceived()
		l.advance(2 * time.Second)
	}
}
