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

// dropReason is the reason why an incoming or outgoing message was dropped.
type dropReason uint8

const (
	dropMalformed     dropReason = iota // cannot have been sent by a relay
	dropUndecryptable                   // not encrypted with a key of this fleet
	dropForeign                         // from another site or cell
	dropReplayed                        // duplicate of a message already received
	dropUnknown                         // of a kind that this relay does not handle
	dropOverflow                        // a queue was full
	dropConflict                        // from a second relay of the same name
	dropUnsent                          // a message of this relay that could not be sent
	dropOther
	dropReasonCount
)

// dropReasonNames are the names of the reasons in metrics and reports.
var dropReasonNames = [dropReasonCount]string{
	dropMalformed:     "malformed",
	dropUndecryptable: "unsealed",
	dropForeign:       "foreign",
	dropReplayed:      "replayed",
	dropUnknown:       "unknown",
	dropOverflow:      "overrun",
	dropConflict:      "conflict",
	dropUnsent:        "unsent",
	dropOther:         "other",
}

// String returns the name of the reason in metrics and reports.
func (r dropReason) String() string {
	if r >= dropReasonCount {
		return fmt.Sprintf("dropReason(%d)", uint8(r))
	}
	return dropReasonNames[r]
}

const (
	// dropLogInterval is the least time between two log lines of the same reason.
	dropLogInterval = time.Minute
	// maxDropDetail is the length in bytes after which the detail in a log line is cut.
	maxDropDetail = 200
)

// dropCounters counts dropped messages by reason and logs a sample of them.
type dropCounters struct {
	log   zerolog.Logger
	total [dropReasonCount]atomic.Uint64

	mu       sync.Mutex
	loggedAt [dropReasonCount]time.Time
}

func newDropCounters(logger zerolog.Logger) *dropCounters { return &dropCounters{log: logger} }

// count counts one dropped message. The detail describes it in the log.
func (d *dropCounters) count(reason dropReason, detail string) {
	total := d.total[reason].Add(1)
	if !d.logDue(reason) {
		return
	}
	if len(detail) > maxDropDetail {
		detail = detail[:maxDropDetail]
	}
	d.log.Warn().Str("reason", reason.String()).Uint64("so_far", total).Str("what", detail).
		Msg("gossip message dropped: see docs/operate/members.md for what to do about each reason")
}

// logDue reports whether dropLogInterval has passed since the last log line of the reason. If so, it records
// the current time as that of the last line.
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

// memberlistDrops maps phrases in memberlist's log, its only trace of the packets that it drops, to the
// reason of the drop. The first match applies.
var memberlistDrops = []struct {
	reason  dropReason
	phrases []string
}{
	{dropForeign, []string{"unacceptable label", "label header"}},
	{dropUndecryptable, []string{"ecrypt"}},
	{dropMalformed, []string{
		"invalid checksum", "ecode", "not supported", "missing message type", "truncated", "decompress",
		"invalid msgType", "unexpected node", "ailed to receive", "remote state",
	}},
	{dropOverflow, []string{"queue full", "Too many pending"}},
}

// logger returns the logger for memberlist. Lines about dropped packets are counted; the others are logged at
// level debug.
func (d *dropCounters) logger() *log.Logger { return log.New(d, "", 0) }

// Write handles one line of memberlist's log.
func (d *dropCounters) Write(line []byte) (int, error) {
	text := strings.TrimSpace(string(line))
	for _, drop := range memberlistDrops {
		for _, phrase := range drop.phrases {
			if strings.Contains(text, phrase) {
				d.count(drop.reason, text)
				return len(line), nil
			}
		}
	}
	d.log.Debug().Str("memberlist", text).Msg("memberlist")
	return len(line), nil
}
