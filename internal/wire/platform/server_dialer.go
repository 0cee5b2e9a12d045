package platform

import (
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"capersail/decide"
	"capersail/internal/relay"
	"capersail/internal/resume"
	"capersail/internal/wire/splice"
)

// ServerDialer is the server side: it dials, forwards lines to clients, classifies how attempts end, and
// probes. It implements relay.ServerDialer.
type ServerDialer struct {
	Clock             *relay.Clock
	ConnectTimeout    time.Duration // of a dial, beside the attempt's deadline; 0 for none
	LoadField         string        // of a load report, the one that tells load over capacity
	MaxIdleProbeConns int64

	mu             sync.Mutex
	probeQueues    map[decide.ServerID]chan probeRequest // guarded by mu
	idleProbeConns atomic.Int64
	// idleProbeLifetime is in place of defaultIdleProbeLifetime where tests set it.
	idleProbeLifetime time.Duration
}

// StartAttempt makes one attempt in a goroutine of its own, which ends with it.
func (s *ServerDialer) StartAttempt(request *relay.Request, a relay.Attempt) {
	go s.runAttempt(request, a)
}

func (s *ServerDialer) runAttempt(request *relay.Request, a relay.Attempt) {
	made := &attempt{Attempt: splice.Attempt{Attempt: a, Request: request}, dialer: s}
	made.Run(s.Clock, s.ConnectTimeout, made.converse)
}

// attempt is one connection to a server, for a request.
type attempt struct {
	splice.Attempt
	dialer *ServerDialer
	lines  *lineReader
}

// converse sends the first line and follows the connection to its end. What each of the server's lines means
// is PROTOCOL's table.
func (a *attempt) converse() (decide.Status, decide.LoadReport) {
	resumeFields, resumable := encodeResumeFields(a.Request, a.Attempt.Attempt)
	clientWait := a.Deadline - a.dialer.Clock.Now()
	line := a.Request.Payload.(*opening).encode(clientWait, resumeFields)
	if a.Conn.Forward(line) != nil {
		return decide.ConnectFailed, decide.NoLoadReport
	}
	a.Request.FirstLineWritten(a.Number)
	a.lines = newLineReader(a.Conn.NetConn)
	answer, status := a.awaitAnswer()
	if status != decide.OK {
		return status, decide.NoLoadReport
	}
	loadField := a.dialer.LoadField
	switch first, rest := splitFirstWord(answer); first {
	case wordEstablished:
		return a.forwardToClient(answer)
	case wordStaleToken, wordAhead:
		if !resumable {
			return decide.Errored, decide.NoLoadReport
		}
		a.Request.FailByServer(a.Number, resumeRejections[first])
		return decide.Cancelled, decide.NoLoadReport
	case wordRejected:
		return decide.AtCapacity, parseLoadReport(rest, loadField)
	case wordClosing:
		return decide.OK, parseLoadReport(rest, loadField)
	case wordMigrate:
		return decide.Cancelled, decide.NoLoadReport
	default:
		return decide.Errored, parseLoadReport(rest, loadField)
	}
}

// awaitAnswer reads the server's first line. A status other than OK says why there is none.
func (a *attempt) awaitAnswer() ([]byte, decide.Status) {
	for {
		a.Conn.SetReadDeadline(a.Deadline)
		line, err := a.lines.readLine()
		switch {
		case err == nil:
			return line, decide.OK
		case !splice.TimedOut(err):
			return nil, decide.Reset
		}
		a.Conn.ClearWake() // before the checks below: a wake that comes after them must not be lost
		switch {
		case a.Conn.Closed():
			return nil, decide.Cancelled
		case a.dialer.Clock.Now() >= a.Deadline:
			return nil, decide.TimedOut
		}
		// The server has begun to drain: what was sent in time goes on.
	}
}

// forwardToClient forwards lines from the server to the client until one side ends, or the client is
// migrated.
func (a *attempt) forwardToClient(established []byte) (decide.Status, decide.LoadReport) {
	client := a.Request.Establish(a.Number)
	if client == nil {
		return decide.Cancelled, decide.NoLoadReport
	}
	d := &downstream{attempt: a, client: client, stream: streamOf(a.Request), checkDue: true}
	d.closeStatus, d.closeReport = decide.Reset, decide.NoLoadReport
	if d.stream != nil {
		established = encodeEstablished(a.Conn, d.stream, a.Server.ID, established)
	}
	return d.run(established)
}

// downstream carries an established request's lines from its server to its client. It alone writes to that
// client, so whatever it adds stands between two lines.
type downstream struct {
	*attempt
	client      relay.ClientConn
	stream      *resume.Stream // nil if the client asked for no token
	closeStatus decide.Status  // what the server's close would mean now
	closeReport decide.LoadReport
	midLine     bool // what was read last was a part of a line over 4 KiB
	checkDue    bool // the stream's lease and read deadline are to be renewed
}

func (d *downstream) run(line []byte) (decide.Status, decide.LoadReport) {
	for {
		d.checkStream()
		if !d.mayForward() {
			return d.migrate()
		}
		if d.client.Forward(line) != nil { // a client that takes nothing for so long has left
			releaseStream(d.Conn, d.stream)
			d.client.Close(relay.AbortiveClose)
			return decide.Cancelled, d.closeReport
		}
		d.recordForwarded(line)
		var err error
		line, err = d.lines.readLine()
		switch {
		case len(line) > 0:
			if d.inspect(line) {
				return d.migrate()
			}
		case splice.TimedOut(err):
			d.Conn.ClearWake()
			if d.Conn.Closed() { // the client has left, and the server took its time to end too
				return decide.Cancelled, d.closeReport
			}
			if migrating, _ := d.Request.Migrating(); migrating {
				return d.migrate()
			}
			d.checkDue = true
		case !d.mayForward(): // the server's lease expired before this side checked it
			return d.migrate()
		default:
			d.Request.ServerClosed()
			releaseStream(d.Conn, d.stream)
			d.client.Close(splice.CloseKindOf(err))
			return d.closeStatus, d.closeReport
		}
	}
}

// checkStream renews the server's lease and the instant of the next check, if that is due.
func (d *downstream) checkStream() {
	if !d.checkDue {
		return
	}
	d.checkDue = false
	renewServerLease(d.Conn, d.stream)
	d.Conn.SetReadDeadline(nextStreamCheck(d.stream))
}

func (d *downstream) mayForward() bool { return d.stream == nil || d.stream.MayForward() }

// recordForwarded gives the client a token if one is due after a line.
func (d *downstream) recordForwarded(line []byte) {
	if d.stream == nil || d.midLine {
		return
	}
	recordPosition(d.stream, line)
	if !d.stream.TokenDue() {
		return
	}
	renewServerLease(d.Conn, d.stream)
	d.client.Forward(encodeToken(d.stream))
	d.checkDue = true
}

// inspect looks at what is to be forwarded. It returns whether the server migrates a client that can
// resume.
func (d *downstream) inspect(line []byte) (serverMigrates bool) {
	if !d.midLine {
		d.closeStatus, d.closeReport = d.inspectLine(line)
		if d.stream != nil && d.closeStatus == decide.Cancelled {
			return true
		}
	}
	d.midLine = line[len(line)-1] != '\n'
	return false
}

// inspectLine returns what the server's close would mean after a line.
func (d *downstream) inspectLine(line []byte) (decide.Status, decide.LoadReport) {
	switch first, rest := splitFirstWord(line); first {
	case wordLoad:
		if load, err := strconv.ParseFloat(rest, 64); err == nil && load >= 0 {
			d.Request.ReportLoad(load)
		}
	case wordClosing:
		return decide.OK, parseLoadReport(rest, d.dialer.LoadField)
	case wordMigrate:
		return decide.Cancelled, decide.NoLoadReport
	default:
		d.Request.LineReceived()
	}
	return decide.Reset, decide.NoLoadReport
}

// migrate sends the client MOVE and closes. A stream that may go on elsewhere is ended at its server and
// released first: the client may be at the next relay within a millisecond.
func (d *downstream) migrate() (decide.Status, decide.LoadReport) {
	releaseStream(d.Conn, d.stream)
	if d.midLine { // nothing can be said within a line
		d.client.Close(relay.AbortiveClose)
		return decide.Cancelled, d.closeReport
	}
	status := decide.Cancelled
	if _, serverSilent := d.Request.Migrating(); serverSilent {
		status = decide.Reset
	}
	d.client.Forward(append(encodeToken(d.stream), encodeLine(wordMigrate)...))
	d.client.Close(relay.GracefulClose)
	return status, d.closeReport
}
