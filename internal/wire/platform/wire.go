package platform

import (
	"bytes"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"capersail/decide"
	"capersail/internal/relay"
)

// The first words of the protocol's lines.
const (
	wordOpen          = "OPEN"  // client: opens a request
	wordPing          = "PING"  // client: health check of this relay
	wordPong          = "PONG"  // answer to a health check, or to a probe with a load report
	wordEstablished   = "UP"    // server: the request is established
	wordRejected      = "BUSY"  // the request is rejected; may carry the milliseconds until a retry
	wordFailed        = "ERR"   // the request has failed and must not be retried
	wordMigrate       = "MOVE"  // the client must open its request again (migration)
	wordClosing       = "BYE"   // server: graceful close, with a load report
	wordLoad          = "LOAD"  // server: its load; forwarded to the client as well
	wordProbe         = "STATS" // relay: probe that asks a server for a load report
	wordNoReport      = "NO"    // answer to a probe by a server without load reports
	wordScan          = "SCAN"  // server: numbered line of a stream
	wordGap           = "GAP"   // relay: range of scans that the client will not receive
	wordToken         = "TOKEN" // relay: resume token with which the stream can continue at another server
	wordConfirmToken  = "GOT"   // client: confirms that it received a token
	wordServerLease   = "KEEP"  // relay: duration for which the server may continue to serve the stream
	wordStaleToken    = "STALE" // server: it has seen a newer fencing token
	wordPositionAhead = "AHEAD" // server: the requested position is beyond its latest scan
)

// splitFirstWord splits a line into its first word and the rest, without the line terminator.
func splitFirstWord(line []byte) (first, rest string) {
	first, rest, _ = strings.Cut(string(bytes.TrimRight(line, "\r\n")), " ")
	return first, rest
}

// encodeLine returns the line that consists of words, separated by spaces and terminated by CRLF.
func encodeLine(words ...string) []byte { return []byte(strings.Join(words, " ") + "\r\n") }

// encodeRejected returns the answer to a rejected request. If retryAfter is 0, the answer names no time to
// wait.
func encodeRejected(retryAfter time.Duration) []byte {
	if retryAfter <= 0 {
		return encodeLine(wordRejected)
	}
	return encodeLine(wordRejected, strconv.Itoa(int(math.Ceil(relay.Millis(retryAfter)))))
}

// encodeResumeFailed returns the answer for a stream that cannot be resumed at this relay. note is the reason
// that the client receives.
func encodeResumeFailed(note string) []byte { return encodeLine(wordFailed, "resume", note) }

// parseLoadReport parses a load report such as `x0=0.61,qps=33`. loadField names the field that holds load
// divided by capacity. Fields that are malformed or unknown are skipped.
func parseLoadReport(text, loadField string) decide.LoadReport {
	report := decide.NoLoadReport
	for _, field := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		x, err := strconv.ParseFloat(value, 64)
		if err != nil || !(x >= 0 && x < 1e12) {
			continue
		}
		switch {
		case name == loadField:
			report.Load = x
		case name == "inflight" || name == "rif":
			report.InFlight = x
		case name == "eps" || name == "fail_rate":
			report.ErrorsPerSecond = x
		case name == "util" || name == "busy":
			report.CPUUtilization = x
		}
	}
	return report
}

// parseKey parses a key or a group as a hexadecimal number. Any other text is hashed to a number.
func parseKey(text string) uint64 {
	if x, err := strconv.ParseUint(text, 16, 64); err == nil {
		return x
	}
	return relay.ServerKey(text)
}

// resumeError is an error of a resume request whose note is sent to the client.
type resumeError struct {
	note string // one of the Note constants of package resume
	err  error
}

func (e *resumeError) Error() string { return fmt.Sprintf("%s: %v", e.note, e.err) }
func (e *resumeError) Unwrap() error { return e.err }
