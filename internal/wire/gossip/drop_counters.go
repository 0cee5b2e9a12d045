package gossip

import (
	"fmt"
	"log"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// dropReason is why something that came, or was to be sent, was dropped.
type dropReason uint8

const (
	dropMalformed dropReason = iota // nothing that a relay sends
	dropUnsealed                    // not sealed with a key of this fleet
	dropForeign                     // of another site or cell
	dropReplayed                    // it had come before
	dropUnknown                     // of a later version
	dropOverflow                    // more than could be taken in
	dropConflict                    // a second relay of one name
	dropUnsent                      // one of this relay's own that could not be sent
	dropOther
	dropReasonCount
)

// dropReasonNames are the reasons as metrics and reports have them.
var dropReasonNames = [dropReasonCount]string{
	dropMalformed: "malformed",
	dropUnsealed:  "unsealed",
	dropForeign:   "foreign",
	dropReplayed:  "replayed",
	dropUnknown:   "unknown",
	dropOverflow:  "overrun",
	dropConflict:  "conflict",
	dropUnsent:    "unsent",
	dropOther:     "other",
}

// String is the reason as metrics and reports have it.
func (r dropReason) String() string {
	if r >= dropReasonCount {
		return fmt.Sprintf("dropReason(%d)", uint8(r))
	}
	return dropReasonNames[r]
}

const (
	// dropLogInterval bounds the log: one line a reason in such a time.
	dropLogInterval = time.Minute
	// maxDropDetail bounds what a line says of what was dropped, in bytes.
	maxDropDetail = 200
)

// dropCounters counts what was dropped, by reason, and logs some of it.
type dropCounters struct {
	log   zerolog.Logger
	total [dropReasonCount]atomic.Uint64

	mu       sync.Mutex
	loggedAt [dropReasonCount]time.Time
}

func newDropCounters(logger zerolog.Logger) *dropCounters { return &dropCounters{log: logger} }

// count counts one drop; detail says more of it in the log.
func (d *dropCounters) count(reason dropReason, detail string) {
	total := d.total[reason].Add(1)
	if !d.logDue(reason) {
		return
	}
	if len(detail) > maxDropDetail {
		detail = detail[:maxDropDetail]
	}
	d.log.Warn().Str("reason", reason.String()).Uint64("so_far", total).Str("what", detail).
		Msg("gossip dropped: docs/operate/members.md says what each reason asks for")
}

// logDue tells whether a line for the reason is due, and notes that it is written.
func (d *dropCounters) logDue(reason dropReason) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if now.Sub(d.loggedAt[reason]) < dropLogInterval {
		return false
	}
	d.loggedAt[reason] = now
	return true
}

// memberlistDrops says by which words memberlist's log tells of a packet that it drops; the first that fits
// counts.
var memberlistDrops = []struct {
	reason dropReason
	words  []string
}{
	{dropForeign, []string{"unacceptable label", "label header"}},
	{dropUnsealed, []string{"ecrypt"}},
	{dropMalformed, []string{
		"invalid checksum", "ecode", "not supported", "missing message type", "truncated", "decompress",
		"invalid msgType", "unexpected node", "ailed to receive", "remote state",
	}},
	{dropOverflow, []string{"queue full", "Too many pending"}},
}

// logger is memberlist's log: what it says of packets that it drops is counted, the rest is for debugging.
func (d *dropCounters) logger() *log.Logger { return log.New(d, "", 0) }

// Write takes one line of memberlist's.
func (d *dropCounters) Write(line []byte) (int, error) {
	text := strings.TrimSpace(string(line))
	for _, drop := range memberlistDrops {
		for _, words := range drop.words {
			if strings.Contains(text, words) {
				d.count(drop.reason, text)
				return len(line), nil
			}
		}
	}
	d.log.Debug().Str("memberlist", text).Msg("memberlist")
	return len(line), nil
}
