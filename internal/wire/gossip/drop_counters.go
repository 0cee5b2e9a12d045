package gossip

import (
	"log"
	"strings"
	"sync"
	"sync/atomic"
	"time"

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
