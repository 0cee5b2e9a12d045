package connlimit

import (
	"net"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"capersail/internal/relay"
)

// modelPermit is the expected state of a Permit.
type modelPermit struct {
	permit  *Permit
	conn    *fakeConn
	client  bool // the descriptor of the client's connection is held
	request bool // it holds a request and may not be evicted
	evicted bool // it has been evicted and must close
	server  bool // the descriptor of its connection to a server is held
}

// limiterModel is the expected state of a Limiter.
type limiterModel struct {
	all      []*modelPermit
	idle     []*modelPermit // oldest first
	held     int            // descriptors held
	requests int            // those of held that requests hold
	evicted  int            // evicted connections that have not closed yet
}

const modelDescriptorLimit = 12

func (m *limiterModel) removeIdle(v *modelPermit) {
	m.idle = slices.DeleteFunc(m.idle, func(o *modelPermit) bool { return o == v })
}

func (m *limiterModel) cancelEviction(v *modelPermit) {
	if v.evicted {
		v.evicted = false
		m.evicted--
	}
}

func (m *limiterModel) evictOldest() {
	v := m.idle[0]
	m.removeIdle(v)
	v.evicted = true
	m.evicted++
}

func (m *limiterModel) admit(limiter *Limiter) {
	if m.held-m.evicted >= modelDescriptorLimit && len(m.idle) > 0 {
		m.evictOldest()
	}
	c := &fakeConn{}
	v := &modelPermit{permit: limiter.Admit(c), conn: c, client: true}
	m.all = append(m.all, v)
	m.idle = append(m.idle, v)
	m.held++
}

func (m *limiterModel) acquireRequest(t *testing.T, v *modelPermit) {
	t.Helper()
	if v.request || v.server || !v.client { // a connection makes one request, before it is closed
		return
	}
	may := m.requests+2 <= modelDescriptorLimit-minIdleReserve
	if got := v.permit.AcquireRequest(); got != may {
		t.Fatalf("AcquireRequest returned %v with %d request descriptors held, want the opposite: %+v",
			got, m.requests, v)
	}
	if !may {
		return
	}
	v.request, v.server = true, true
	m.held++
	m.requests += 2
	m.removeIdle(v)
	m.cancelEviction(v)
	for m.held-m.evicted > modelDescriptorLimit && len(m.idle) > 0 {
		m.evictOldest()
	}
}

func (m *limiterModel) releaseRequest(v *modelPermit) {
	v.permit.ReleaseRequest()
	if v.request {
		v.request = false
		m.requests--
		m.idle = append(m.idle, v)
	}
}

func (m *limiterModel) releaseClient(v *modelPermit) {
	if v.request {
		v.request = false
		m.requests--
	}
	if v.client {
		v.client = false
		m.held--
		m.removeIdle(v)
		m.cancelEviction(v)
	}
}

func (m *limiterModel) releaseAll(v *modelPermit) {
	v.permit.release()
	m.releaseClient(v)
	if v.server {
		v.server = false
		m.held--
		m.requests--
	}
}

// compare checks the limiter's counts and each permit against the model.
func (m *limiterModel) compare(t *testing.T, limiter *Limiter) {
	t.Helper()
	got := [...]int{
		limiter.descriptorsHeld, limiter.requestDescriptors, limiter.idlePermits.Len(), limiter.evicting,
	}
	if want := [...]int{m.held, m.requests, len(m.idle), m.evicted}; got != want {
		t.Fatalf("descriptors held, request descriptors, idle, evicting: %d, want %d", got, want)
	}
	if m.held-m.evicted > modelDescriptorLimit+1 {
		t.Fatalf("%d descriptors held with limit %d, %d of them evicted; want at most one over the limit",
			m.held, modelDescriptorLimit, m.evicted)
	}
	for i, v := range m.all {
		differs := v.client != v.permit.clientCounted || v.evicted != v.permit.evicted
		if differs || v.evicted && !v.permit.Conn.ClosingNow() || v.conn.closed {
			t.Fatalf("permit %d differs from the model, or the limiter closed its connection: %+v, closed %v",
				i, v, v.conn.closed)
		}
	}
}

type fakeConn struct {
	net.Conn
	closed bool
}

func (c *fakeConn) Close() error                { c.closed = true; return nil }
func (c *fakeConn) SetDeadline(time.Time) error { return nil }

// FuzzLimiterAgainstModel applies random operations to the permits of a small limiter and compares its counts
// with a model: the descriptors held stay within the limit, evicted connections aside; the oldest idle
// connection is evicted, and never one with a request. The limiter itself closes no connection, as only the
// goroutine that reads a connection can tell whether its last line has been received.
func FuzzLimiterAgainstModel(f *testing.F) {
	f.Add([]byte{0, 0, 0, 0, 1, 0, 1, 1, 0, 0, 2, 0, 3, 0, 4, 0, 0, 0})
	f.Add(append(make([]byte, 22), 1, 9, 1, 10, 4, 9, 0, 0, 0, 0))
	f.Fuzz(func(t *testing.T, steps []byte) {
		limiter := New(relay.NewManualClock(), modelDescriptorLimit, zerolog.Nop())
		m := &limiterModel{}
		for ; len(steps) >= 2; steps = steps[2:] {
			switch {
			case steps[0]%5 == 0:
				m.admit(limiter)
			case len(m.all) > 0:
				m.step(t, steps[0]%5, m.all[int(steps[1])%len(m.all)])
			}
			m.compare(t, limiter)
		}
	})
}

// step applies one operation to a permit and to its model.
func (m *limiterModel) step(t *testing.T, kind byte, v *modelPermit) {
	t.Helper()
	switch kind {
	case 1:
		m.acquireRequest(t, v)
	case 2:
		m.releaseRequest(v)
	case 3:
		m.releaseRequest(v)
		v.permit.ReleaseClient()
		m.releaseClient(v)
	case 4:
		m.releaseAll(v)
	}
}
