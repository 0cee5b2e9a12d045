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
	wordOpen         = "OPEN"  // a client opens a request
	wordPing         = "PING"  // a client's health check of this relay
	wordPong         = "PONG"  // the answer to a health check, or a load report
	wordEstablished  = "UP"    // the request is established
	wordRejected     = "BUSY"  // rejected, with the milliseconds until a retry where there are any
	wordFailed       = "ERR"   // failed for good
	wordMigrate      = "MOVE"  // the client is to open its request again
	wordClosing      = "BYE"   // the server closes gracefully, with a load report
	wordLoad         = "LOAD"  // the server's load, for the client too
	wordProbe        = "STATS" // a probe for load
	wordNoReport     = "NO"    // the answer of a server that makes no load reports
	wordScan         = "SCAN"  // a numbered line of a stream
	wordGap          = "GAP"   // scans that the client misses
	wordToken        = "TOKEN" // a token that lets the stream go on elsewhere
	wordConfirmToken = "GOT"   // the client has a token
	wordServerLease  = "KEEP"  // how long the server may serve on
	wordStaleToken   = "STALE" // the server has seen a newer fencing token
	wordAhead        = "AHEAD" // the server has not come to the position
)

// splitFirstWord splits a line into its first word and the rest, without its end.
func splitFirstWord(line []byte) (first, rest string) {
	first, rest, _ = strings.Cut(string(bytes.TrimRight(line, "\r\n")), " ")
	return first, rest
}

// encodeLine makes a line of words.
func encodeLine(words ...string) []byte { return []byte(strings.Join(words, " ") + "\r\n") }

// encodeRejected makes the answer of a rejected request. 0 names no time to wait.
func encodeRejected(retryAfter time.Duration) []byte {
	if retryAfter <= 0 {
		return encodeLine(wordRejected)
	}
	return encodeLine(wordRejected, strconv.Itoa(int(math.Ceil(relay.Millis(retryAfter)))))
}

// encodeResumeFailed makes the answer of a stream that cannot go on here.
func encodeResumeFailed(note string) []byte { return encodeLine(wordFailed, "resume", note) }

// parseLoadReport reads a load report, `x0=0.61,qps=33`. loadField names the field that tells load over
// capacity. What cannot be read is left out.
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

// parseKey reads the hexadecimal figures of keys and groups; any other text stands for a number too.
func parseKey(text string) uint64 {
	if x, err := strconv.ParseUint(text, 16, 64); err == nil {
		return x
	}
	return relay.ServerKey(text)
}

// resumeError is an error whose note is the client's to know.
type resumeError struct {
	note string // one of package resume's
	err  error
}

func (e *resumeError) Error() string { return fmt.Sprintf("%s: %v", e.note, e.err) }
func (e *resumeError) Unwrap() error { return e.err }
