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

// dropReason is why something that came was dropped.
type dropReason uint8

const (
	dropMalformed dropReason = iota // nothing that a relay sends
	dropUnsealed                    // not sealed with a key of this fleet
	dropForeign                     // of another site
	dropReplayed                    // it had come before
	dropUnknown                     // of a later version
	dropOverflow                    // more than could be taken in
	dropConflict                    // a second relay of one name
	dropUnsent                      // one of this relay's own that could not be sent
	dropOther
	dropReasonCount
)

var dropReasonNames = [dropReasonCount]string{"malformed", "unsealed", "foreign", "replayed", "unknown", "overrun", "conflict", "unsent", "other"}

// dropLogInterval bounds the log: one line a reason in such a time.
const dropLogInterval = time.Minute

// dropCounters counts what was dropped, by reason.
type dropCounters struct {
	log   zerolog.Logger
	total [dropReasonCount]atomic.Uint64

	mu       sync.Mutex
	loggedAt [dropReasonCount]time.Time
}

func newDropCounters(log zerolog.Logger) *dropCounters { return &dropCounters{log: log} }

func (d *dropCounters) count(r dropReason, what string) {
	n := d.total[r].Add(1)
	d.mu.Lock()
	now := time.Now()
	say := now.Sub(d.loggedAt[r]) >= dropLogInterval
	if say {
		d.loggedAt[r] = now
	}
	d.mu.Unlock()
	if say {
		if len(what) > 200 {
			what = what[:200]
		}
		d.log.Warn().Str("reason", dropReasonNames[r]).Uint64("so_far", n).Str("what", what).Msg("members: dropped")
	}
}

// logger is memberlist's log: what it says of packets that it drops is counted, the rest is for debugging.
func (d *dropCounters) logger() *log.Logger { return log.New(d, "", 0) }

// Write takes one line of memberlist's.
func (d *dropCounters) Write(line []byte) (int, error) {
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
		d.count(dropForeign, text)
	case has("ecrypt"):
		d.count(dropUnsealed, text)
	case has("invalid checksum", "ecode", "not supported", "missing message type", "truncated", "decompress", "invalid msgType", "unexpected node", "ailed to receive",
		"remote state"):
		d.count(dropMalformed, text)
	case has("queue full", "Too many pending"):
		d.count(dropOverflow, text)
	default:
		d.log.Debug().Str("memberlist", text).Msg("members")
	}
	return len(line), nil
}

// traffic counts what goes out and comes in.
type traffic struct {
	packetsOut, bytesOut, packetsIn, bytesIn atomic.Uint64
}

// countingTransport is memberlist's transport with its traffic countingTransport.
type countingTransport struct {
	memberlist.NodeAwareTransport
	traffic *traffic
	in      chan *memberlist.Packet
	stop    chan struct{}
}

// countTraffic begins to countTraffic a transport's traffic; its Shutdown ends that.
func countTraffic(t memberlist.NodeAwareTransport, into *traffic) *countingTransport {
	c := &countingTransport{NodeAwareTransport: t, traffic: into, in: make(chan *memberlist.Packet, 64), stop: make(chan struct{})}
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
func (c *countingTransport) WriteTo(b []byte, to string) (time.Time, error) {
	return c.WriteToAddress(b, memberlist.Address{Addr: to})
}

// WriteToAddress is memberlist's.
func (c *countingTransport) WriteToAddress(b []byte, to memberlist.Address) (time.Time, error) {
	c.traffic.packetsOut.Add(1)
	c.traffic.bytesOut.Add(uint64(len(b)))
	return c.NodeAwareTransport.WriteToAddress(b, to)
}

// PacketCh is memberlist's.
func (c *countingTransport) PacketCh() <-chan *memberlist.Packet { return c.in }

// Shutdown is memberlist's.
func (c *countingTransport) Shutdown() error {
	close(c.stop)
	return c.NodeAwareTransport.Shutdown()
}
