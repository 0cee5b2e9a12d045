package connlimit

import (
	"net"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"capersail/internal/relay"
)

// visitor is what a pass is meant to be.
type visitor struct {
	pass   *Permit
	conn   *conn
	client bool // its descriptor is held
	asked  bool // and may not be taken away
	wanted bool // and is to make room
	server bool
}

type conn struct {
	net.Conn
	closed bool
}

func (c *conn) Close() error                { c.closed = true; return nil }
func (c *conn) SetDeadline(time.Time) error { return nil }

// FuzzGate plays random steps to the passes of a small gate and checks its counts against a model: what is
// held stays within the room but for those that are making way, the oldest idle connection makes way, and a
// request's never does. The gate itself closes none: only the goroutine that reads a connection can tell
// whether its last line has come.
func FuzzGate(f *testing.F) {
	f.Add([]byte{0, 0, 0, 0, 1, 0, 1, 1, 0, 0, 2, 0, 3, 0, 4, 0, 0, 0})
	f.Add([]byte{0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1, 9, 1, 10, 4, 9, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, steps []byte) {
		const room = 12
		g := New(relay.NewManualClock(), room, zerolog.Nop())
		var all []*visitor
		var idle []*visitor
		held, placed, wanted := 0, 0, 0
		out := func(v *visitor) { idle = slices.DeleteFunc(idle, func(o *visitor) bool { return o == v }) }
		stay := func(v *visitor) {
			if v.wanted {
				v.wanted = false
				wanted--
			}
		}
		free := func(v *visitor) {
			if v.asked {
				v.asked = false
				placed--
			}
			if v.client {
				v.client = false
				held--
				out(v)
				stay(v)
			}
		}
		want := func() {
			v := idle[0]
			out(v)
			v.wanted = true
			wanted++
		}
		for ; len(steps) >= 2; steps = steps[2:] {
			if steps[0]%5 == 0 {
				if held-wanted >= room && len(idle) > 0 {
					want()
				}
				c := &conn{}
				v := &visitor{pass: g.admitConnection(c), conn: c, client: true}
				all, idle = append(all, v), append(idle, v)
				held++
			} else if len(all) > 0 {
				v := all[int(steps[1])%len(all)]
				switch steps[0] % 5 {
				case 1:
					if v.asked || v.server || !v.client { // a connection asks once, and before it is closed
						continue
					}
					may := placed+2 <= room-minIdleReserve
					if got := v.pass.AcquireRequest(); got != may {
						t.Fatalf("ask: %v with %d placed of %+v", got, placed, v)
					}
					if may {
						v.asked, v.server = true, true
						held, placed = held+1, placed+2
						out(v)
						stay(v)
						for held-wanted > room && len(idle) > 0 {
							want()
						}
					}
				case 2:
					v.pass.ReleaseRequest()
					if v.asked {
						v.asked = false
						placed--
						idle = append(idle, v)
					}
				case 3:
					v.pass.ReleaseRequest()
					if v.asked {
						v.asked = false
						placed--
						idle = append(idle, v)
					}
					v.pass.ReleaseClient()
					free(v)
				case 4:
					v.pass.release()
					free(v)
					if v.server {
						v.server = false
						held, placed = held-1, placed-1
					}
				}
			}
			if g.descriptorsHeld != held || g.requestDescriptors != placed || g.idlePermits.Len() != len(idle) || g.evicting != wanted {
				t.Fatalf("held %d, placed %d, idle %d, making way %d; want %d, %d, %d, %d", g.descriptorsHeld, g.requestDescriptors, g.idlePermits.Len(), g.evicting, held, placed,
					len(idle), wanted)
			}
			if held-wanted > room+1 {
				t.Fatalf("%d held of %d, %d of them make way", held, room, wanted)
			}
			for i, v := range all {
				if v.client != v.pass.clientCounted || v.wanted != v.pass.evicted || v.wanted && !v.pass.Half.ClosingNow() || v.conn.closed {
					t.Fatalf("visitor %d: %+v, closed %v", i, v, v.conn.closed)
				}
			}
		}
	})
}
