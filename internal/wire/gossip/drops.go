package gossip

import (
	"log"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
	"github.com/rs/zerolog"
)

// reason is why something that came was dropped.
type reason uint8

const (
	malformed reason = iota // nothing that a relay sends
	unsealed                // not sealed with a key of this fleet
	foreign                 // of another site
	replayed                // it had come before
	unknown                 // of a later version
	overrun                 // more than could be taken in
	conflict                // a second relay of one name
	unsent                  // one of this relay's own that could not be sent
	otherwise
	reasons
)

var reasonNames = [reasons]string{"malformed", "unsealed", "foreign", "replayed", "unknown", "overrun", "conflict", "unsent", "other"}

// sayEvery bounds the log: one line a reason in such a time.
const sayEvery = time.Minute

// drops counts what was dropped, by reason.
type drops struct {
	log   zerolog.Logger
	total [reasons]atomic.Uint64

	mu   sync.Mutex
	said [reasons]time.Time
}

func newDrops(log zerolog.Logger) *drops { return &drops{log: log} }

func (d *drops) count(r reason, what string) {
	n := d.total[r].Add(1)
	d.mu.Lock()
	now := time.Now()
	say := now.Sub(d.said[r]) >= sayEvery
	if say {
		d.said[r] = now
	}
	d.mu.Unlock()
	if say {
		if len(what) > 200 {
			what = what[:200]
		}
		d.log.Warn().Str("reason", reasonNames[r]).Uint64("so_far", n).Str("what", what).Msg("members: dropped")
	}
}

// logger is memberlist's log: what it says of packets that it drops is counted, the rest is for debugging.
func (d *drops) logger() *log.Logger { return log.New(d, "", 0) }

// Write takes one line of memberlist's.
func (d *drops) Write(line []byte) (int, error) {
	text := strings.TrimSpace(string(line))
	has := func(parts ...string) bool {
		for _, p := range parts {
			if strings.Contains(text, p) {
				return true
			}
		}
		return false
	}
	switch {
	case has("unacceptable label", "label header"):
		d.count(foreign, text)
	case has("ecrypt"):
		d.count(unsealed, text)
	case has("invalid checksum", "ecode", "not supported", "missing message type", "truncated", "decompress", "invalid msgType", "unexpected node", "ailed to receive",
		"remote state"):
		d.count(malformed, text)
	case has("queue full", "Too many pending"):
		d.count(overrun, text)
	default:
		d.log.Debug().Str("memberlist", text).Msg("members")
	}
	return len(line), nil
}

// traffic counts what goes out and comes in.
type traffic struct {
	packetsOut, bytesOut, packetsIn, bytesIn atomic.Uint64
}

// counted is memberlist's transport with its traffic counted.
type counted struct {
	memberlist.NodeAwareTransport
	traffic *traffic
	in      chan *memberlist.Packet
	stop    chan struct{}
}

// count begins to count a transport's traffic; its Shutdown ends that.
func count(t memberlist.NodeAwareTransport, into *traffic) *counted {
	c := &counted{NodeAwareTransport: t, traffic: into, in: make(chan *memberlist.Packet, 64), stop: make(chan struct{})}
	go func() {
		for {
			select {
			case <-c.stop:
				return
			case p := <-t.PacketCh():
				into.packetsIn.Add(1)
				into.bytesIn.Add(uint64(len(p.Buf)))
				select {
				case c.in <- p:
				case <-c.stop:
					return
				}
			}
		}
	}()
	return c
}

// WriteTo is memberlist's.
func (c *counted) WriteTo(b []byte, to string) (time.Time, error) {
	return c.WriteToAddress(b, memberlist.Address{Addr: to})
}

// WriteToAddress is memberlist's.
func (c *counted) WriteToAddress(b []byte, to memberlist.Address) (time.Time, error) {
	c.traffic.packetsOut.Add(1)
	c.traffic.bytesOut.Add(uint64(len(b)))
	return c.NodeAwareTransport.WriteToAddress(b, to)
}

// PacketCh is memberlist's.
func (c *counted) PacketCh() <-chan *memberlist.Packet { return c.in }

// Shutdown is memberlist's.
func (c *counted) Shutdown() error {
	close(c.stop)
	return c.NodeAwareTransport.Shutdown()
}
