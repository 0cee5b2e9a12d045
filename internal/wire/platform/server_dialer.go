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

// ServerDialer is the server side of the protocol. It dials servers, forwards their lines to clients, reports
// the status with which each attempt ends, and probes servers. It implements relay.ServerDialer.
type ServerDialer struct {
	Clock             *relay.Clock
	ConnectTimeout    time.Duration // limit of a dial besides the attempt's deadline; 0 means none
	LoadField         string        // field of a load report that holds load divided by capacity
	MaxIdleProbeConns int64         // idle connections for probes, over all servers

	mu             sync.Mutex
	probeQueues    map[decide.ServerID]chan probeRequest // guarded by mu
	idleProbeConns atomic.Int64
	// idleProbeLifetime replaces defaultIdleProbeLifetime in tests; 0 means the default.
	idleProbeLifetime time.Duration
}

// StartAttempt makes one attempt in a new goroutine, which ends with the attempt.
func (s *ServerDialer) StartAttempt(request *relay.Request, a relay.Attempt) {
	go s.runAttempt(request, a)
}

func (s *ServerDialer) runAttempt(request *relay.Request, a relay.Attempt) {
	current := &attempt{Attempt: splice.Attempt{Attempt: a, Request: request}, dialer: s}
	current.Run(s.Clock, s.ConnectTimeout, current.runProtocol)
}

// attempt is one attempt of a request with its connection to a server.
type attempt struct {
	splice.Attempt
	dialer *ServerDialer
	lines  *lineReader
}

// runProtocol sends the first line, handles the server's answer and forwards lines until the connection ends.
// PROTOCOL's table defines what each answer of the server means.
func (a *attempt) runProtocol() (decide.Status, decide.LoadReport) {
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
	case wordStaleToken, wordPositionAhead:
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

// awaitAnswer reads the server's first line. If there is none, the status is not OK and gives the reason.
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
		a.Conn.ClearWake() // before the checks below, so that a wake after them is not lost
		switch {
		case a.Conn.Closed():
			return nil, decide.Cancelled
		case a.dialer.Clock.Now() >= a.Deadline:
			return nil, decide.TimedOut
		}
		// The wake was for a drain of the server: an attempt whose first line was sent before it continues.
	}
}

// forwardToClient forwards lines from the server to the client until one side closes or the client is
// migrated.
func (a *attempt) forwardToClient(established []byte) (decide.Status, decide.LoadReport) {
	client := a.Request.Establish(a.Number)
	if client == nil {
		return decide.Cancelled, decide.NoLoadReport
	}
	down := &downstream{attempt: a, client: client, stream: streamOf(a.Request), streamCheckDue: true}
	down.closeStatus, down.closeReport = decide.Reset, decide.NoLoadReport
	if down.stream != nil {
		established = encodeEstablished(a.Conn, down.stream, a.Server.ID, established)
	}
	return down.run(established)
}

// downstream forwards the lines of an established request from its server to its client. Nothing else writes
// to that client, so the lines that downstream adds never split another line.
type downstream struct {
	*attempt
	client         relay.ClientConn
	stream         *resume.Stream    // nil if the client asked for no token
	closeStatus    decide.Status     // status of the attempt if the server closes now
	closeReport    decide.LoadReport // load report of the attempt if the server closes now
	endForwarded   bool              // the last line that the client was sent is the server's BYE or MOVE
	midLine        bool              // the last read returned a part of a line over 4 KiB
	streamCheckDue bool              // the server's lease and the read deadline must be renewed
}

func (d *downstream) run(line []byte) (decide.Status, decide.LoadReport) {
	for {
		d.checkStream()
		if !d.mayForward() {
			return d.migrate()
		}
		if d.client.Forward(line) != nil { // the client is gone, or does not read
			releaseStream(d.Conn, d.stream)
			d.client.Close(relay.AbortiveClose)
			return decide.Cancelled, d.closeReport
		}
		d.endForwarded = d.closeStatus != decide.Reset
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
			if d.Conn.Closed() { // the client closed, and the server did not end in time
				return decide.Cancelled, d.closeReport
			}
			if migrating, _ := d.Request.Migrating(); migrating {
				return d.migrate()
			}
			d.streamCheckDue = true
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

// checkStream renews the server's lease and sets the time of the next check, if a check is due.
func (d *downstream) checkStream() {
	if !d.streamCheckDue {
		return
	}
	d.streamCheckDue = false
	renewServerLease(d.Conn, d.stream)
	d.Conn.SetReadDeadline(nextStreamCheck(d.stream))
}

func (d *downstream) mayForward() bool { return d.stream == nil || d.stream.MayForward() }

// recordForwarded records the position of a forwarded line and sends the client a new token if one is due.
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
	d.streamCheckDue = true
}

// inspect examines a line, or a part of one, before it is forwarded. It returns true if the server migrates a
// client that can resume.
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

// inspectLine reports load and activity to the request, and returns the status and load report of the attempt
// if the server closes after this line.
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

// migrate sends the client MOVE and closes its connection. After the server's own BYE or MOVE it only closes
// the connection. A resumable stream is closed at its server and
// released before that: the client may reach the next relay within a millisecond.
func (d *downstream) migrate() (decide.Status, decide.LoadReport) {
	releaseStream(d.Conn, d.stream)
	if d.midLine { // MOVE would become part of an unfinished line
		d.client.Close(relay.AbortiveClose)
		return decide.Cancelled, d.closeReport
	}
	if d.endForwarded { // MOVE would be a second outcome
		d.client.Close(relay.GracefulClose)
		return d.closeStatus, d.closeReport
	}
	status := decide.Cancelled
	if _, serverSilent := d.Request.Migrating(); serverSilent {
		status = decide.Reset
	}
	d.client.Forward(append(encodeToken(d.stream), encodeLine(wordMigrate)...))
	d.client.Close(relay.GracefulClose)
	return status, d.closeReport
}
