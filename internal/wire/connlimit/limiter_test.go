package connlimit

import (
	"net"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"capersail/internal/relay"
)

// modelPermit is what a permit is meant to be.
type modelPermit struct {
	permit  *Permit
	conn    *conn
	client  bool // its descriptor is held
	request bool // and may not be taken away
	evicted bool // and is to make descriptorLimit
	server  bool
}

type conn struct {
	net.Conn
	closed bool
}

func (c *conn) Close() error                { c.closed = true; return nil }
func (c *conn) SetDeadline(time.Time) error { return nil }

// FuzzLimiterAgainstModel plays random steps to the passes of a small gate and checks its counts against a model: what is
// held stays within the descriptorLimit but for those that are making way, the oldest idle connection makes way, and a
// request's never does. The gate itself closes none: only the goroutine that reads a connection can tell
// whether its last line has come.
func FuzzLimiterAgainstModel(f *testing.F) {
	f.Add([]byte{0, 0, 0, 0, 1, 0, 1, 1, 0, 0, 2, 0, 3, 0, 4, 0, 0, 0})
	f.Add([]byte{0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1, 9, 1, 10, 4, 9, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, steps []byte) {
		const descriptorLimit = 12
		limiter := New(relay.NewManualClock(), descriptorLimit, zerolog.Nop())
		var all []*modelPermit
		var idle []*modelPermit
		held, requests, evicted := 0, 0, 0
		removeIdle := func(v *modelPermit) { idle = slices.DeleteFunc(idle, func(o *modelPermit) bool { return o == v }) }
		cancelEviction := func(v *modelPermit) {
			if v.evicted {
				v.evicted = false
				evicted--
			}
		}
		releaseClient := func(v *modelPermit) {
			if v.request {
				v.request = false
				requests--
			}
			if v.client {
				v.client = false
				held--
				removeIdle(v)
				cancelEviction(v)
			}
		}
		evictOldest := func() {
			v := idle[0]
			removeIdle(v)
			v.evicted = true
			evicted++
		}
		for ; len(steps) >= 2; steps = steps[2:] {
			if steps[0]%5 == 0 {
				if held-evicted >= descriptorLimit && len(idle) > 0 {
					evictOldest()
				}
				c := &conn{}
				v := &modelPermit{permit: limiter.admitConnection(c), conn: c, client: true}
				all, idle = append(all, v), append(idle, v)
				held++
			} else if len(all) > 0 {
				v := all[int(steps[1])%len(all)]
				switch steps[0] % 5 {
				case 1:
					if v.request || v.server || !v.client { // a connection asks once, and before it is closed
						continue
					}
					may := requests+2 <= descriptorLimit-minIdleReserve
					if got := v.permit.AcquireRequest(); got != may {
						t.Fatalf("ask: %v with %d requests of %+v", got, requests, v)
					}
					if may {
						v.request, v.server = true, true
						held, requests = held+1, requests+2
						removeIdle(v)
						cancelEviction(v)
						for held-evicted > descriptorLimit && len(idle) > 0 {
							evictOldest()
						}
					}
				case 2:
					v.permit.ReleaseRequest()
					if v.request {
						v.request = false
						requests--
						idle = append(idle, v)
					}
				case 3:
					v.permit.ReleaseRequest()
					if v.request {
						v.request = false
						requests--
						idle = append(idle, v)
					}
					v.permit.ReleaseClient()
					releaseClient(v)
				case 4:
					v.permit.release()
					releaseClient(v)
					if v.server {
						v.server = false
						held, requests = held-1, requests-1
					}
				}
			}
			if limiter.descriptorsHeld != held || limiter.requestDescriptors != requests || limiter.idlePermits.Len() != len(idle) || limiter.evicting != evicted {
				t.Fatalf("held %d, requests %d, idle %d, making way %d; want %d, %d, %d, %d", limiter.descriptorsHeld, limiter.requestDescriptors, limiter.idlePermits.Len(), limiter.evicting, held, requests,
					len(idle), evicted)
			}
			if held-evicted > descriptorLimit+1 {
				t.Fatalf("%d held of %d, %d of them make way", held, descriptorLimit, evicted)
			}
			for i, v := range all {
				if v.client != v.permit.clientCounted || v.evicted != v.permit.evicted || v.evicted && !v.permit.Half.ClosingNow() || v.conn.closed {
					t.Fatalf("modelPermit %d: %+v, closed %v", i, v, v.conn.closed)
				}
			}
		}
	})
}
