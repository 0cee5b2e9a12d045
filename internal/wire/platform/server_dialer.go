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

// ServerDialer is the server side: it dials, passes lines back, classifies how attempts end, and probes.
type ServerDialer struct {
	Clock             *relay.Clock
	ConnectTimeout    time.Duration
	LoadField         string
	MaxIdleProbeConns int64 // how many connections may be kept for probes

	mu             sync.Mutex
	probeQueues    map[decide.ServerID]chan probeRequest
	idleProbeConns atomic.Int64 // connections kept for probes
}

// StartAttempt makes one attempt in a goroutine of its own.
func (s *ServerDialer) StartAttempt(c *relay.Request, a relay.Attempt) { go s.runAttempt(c, a) }

func (s *ServerDialer) runAttempt(c *relay.Request, a relay.Attempt) {
	attempt := &splice.Attempt{Attempt: a, Request: c}
	attempt.Run(s.Clock, s.ConnectTimeout, func() (decide.Status, decide.LoadReport) {
		return s.awaitAnswer(c, a, attempt.Half)
	})
}

// awaitAnswer sends the first line and follows the connection to its end, for PROTOCOL's table.
func (s *ServerDialer) awaitAnswer(c *relay.Request, a relay.Attempt, e *splice.Half) (decide.Status, decide.LoadReport) {
	more, told := encodeResumeFields(c, a)
	if e.Forward(c.Payload.(*opening).encode(a.Deadline-s.Clock.Now(), more)) != nil {
		return decide.ConnectFailed, decide.NoLoadReport
	}
	c.FirstLineWritten(a.Number)
	in := newLineReader(e.Conn)
	for {
		e.SetReadUntil(a.Deadline)
		line, err := in.readLine()
		if splice.TimedOut(err) {
			e.ClearWake() // before the looks below: a wake that comes after them must not be lost
			if e.Closed() {
				return decide.Cancelled, decide.NoLoadReport
			}
			if s.Clock.Now() < a.Deadline { // its server has begun to drain: what was sent in time goes on
				continue
			}
			return decide.TimedOut, decide.NoLoadReport
		}
		if err != nil {
			return decide.Reset, decide.NoLoadReport
		}
		switch first, rest := splitFirstWord(line); first {
		case "UP":
			return s.forwardToClient(c, a, e, in, line)
		case "STALE", "AHEAD":
			if !told {
				return decide.Errored, decide.NoLoadReport
			}
			c.FailByServer(a.Number, resumeRejections[first])
			return decide.Cancelled, decide.NoLoadReport
		case "BUSY":
			return decide.AtCapacity, parseLoadReport(rest, s.LoadField)
		case "BYE":
			return decide.OK, parseLoadReport(rest, s.LoadField)
		case "MOVE":
			return decide.Cancelled, decide.NoLoadReport
		default:
			return decide.Errored, parseLoadReport(rest, s.LoadField)
		}
	}
}

// forwardToClient passes lines from the server to the client until one side ends, or the client is to be moved.
// It alone writes to a client whose call is up, so MOVE always stands between two lines.
func (s *ServerDialer) forwardToClient(c *relay.Request, a relay.Attempt, e *splice.Half, in *lineReader, line []byte) (decide.Status, decide.LoadReport) {
	client := c.Establish(a.Number)
	if client == nil {
		return decide.Cancelled, decide.NoLoadReport
	}
	st := streamOf(c)
	if st != nil {
		line = encodeEstablished(e, st, a, line)
	}
	status, load, within, looked := decide.Reset, decide.NoLoadReport, false, false
	for {
		if !looked {
			renewServerLease(e, st)
			e.SetReadUntil(nextStreamCheck(st))
			looked = true
		}
		if st != nil && !st.MayForward() {
			return s.migrateClient(c, e, client, st, within, load)
		}
		if err := client.Forward(line); err != nil {
			releaseStream(e, st)
			client.Close(relay.AbortiveClose) // a client that takes nothing for a second has left
			return decide.Cancelled, load
		}
		if st != nil && !within && recordForwardedLine(st, line) != nil {
			renewServerLease(e, st)
			client.Forward(tokenLine(st))
			looked = false
		}
		var err error
		if line, err = in.readLine(); len(line) > 0 {
			if !within {
				status, load = s.inspectServerLine(c, line)
				if st != nil && status == decide.Cancelled { // its server sends it away
					return s.migrateClient(c, e, client, st, false, load)
				}
			}
			within = line[len(line)-1] != '\n' // the rest of a line over 4 KiB is no line of its own
			continue
		}
		if splice.TimedOut(err) {
			e.ClearWake()
			if e.Closed() { // the client has left, and the server took its time to end too
				return decide.Cancelled, load
			}
			if moving, _ := c.Migrating(); moving {
				return s.migrateClient(c, e, client, st, within, load)
			}
			line, looked = nil, false
			continue
		}
		if st != nil && !st.MayForward() { // its server's lease has ended before we looked
			return s.migrateClient(c, e, client, st, within, load)
		}
		c.ServerClosed()
		releaseStream(e, st)
		client.Close(splice.EndingOf(err))
		return status, load
	}
}

// migrateClient sends the client away. A stream that may go on elsewhere is ended at its server and given back first:
// the client may be at the next relay within a millisecond.
func (s *ServerDialer) migrateClient(c *relay.Request, e *splice.Half, client relay.ClientConn, st *resume.Stream, within bool,
	load decide.LoadReport) (decide.Status, decide.LoadReport) {
	releaseStream(e, st)
	status := decide.Cancelled
	if _, silent := c.Migrating(); silent {
		status = decide.Reset
	}
	if within {
		client.Close(relay.AbortiveClose)
		return decide.Cancelled, load
	}
	client.Forward(append(tokenLine(st), "MOVE\r\n"...))
	client.Close(relay.GracefulClose)
	return status, load
}

// inspectServerLine looks at a line on its way to the client. It returns what the connection's end would mean now.
func (s *ServerDialer) inspectServerLine(c *relay.Request, line []byte) (decide.Status, decide.LoadReport) {
	switch first, rest := splitFirstWord(line); first {
	case "LOAD":
		if x, err := strconv.ParseFloat(rest, 64); err == nil && x >= 0 {
			c.ReportLoad(x)
		}
	case "BYE":
		return decide.OK, parseLoadReport(rest, s.LoadField)
	case "MOVE":
		return decide.Cancelled, decide.NoLoadReport
	default:
		c.LineReceived()
	}
	return decide.Reset, decide.NoLoadReport
}
