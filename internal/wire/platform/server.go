package platform

import (
	"context"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"capersail/decide"
	"capersail/internal/relay"
	"capersail/internal/resume"
	"capersail/internal/wire/splice"
)

const (
	// probeTimeout is how long a probe's answer is waited for. It tells a silent machine from a slow one.
	probeTimeout = 200 * time.Millisecond
	// idleProbeConnLifetime is how long a connection for probes is kept unused. Servers that a deploy has replaced are probed
	// no more, and each would hold a descriptor for good.
	idleProbeConnLifetime = 10 * time.Second
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
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	e := &splice.Half{Clock: s.Clock, Stop: stop}
	if !c.Attach(a.Number, e) {
		c.EndAttempt(a.Number, decide.Superseded, decide.NoLoadReport)
		return
	}
	within := a.Deadline - s.Clock.Now()
	if s.ConnectTimeout > 0 {
		within = min(within, s.ConnectTimeout)
	}
	conn, err := splice.Dial(ctx, a.Server.Address, within)
	if err != nil {
		c.EndAttempt(a.Number, splice.DialStatus(err), decide.NoLoadReport)
		return
	}
	defer conn.Close()
	if !e.Attach(conn) || !c.BeginWrite(a.Number) {
		conn.Close() // the server is to see the end before the module hears of it and may send elsewhere
		c.EndAttempt(a.Number, decide.Superseded, decide.NoLoadReport)
		return
	}
	status, load := s.awaitAnswer(c, a, e)
	// Before the outcome is told: a timed-out attempt that still stands while the next one is sent is a
	// second copy.
	e.Close(relay.GracefulClose)
	conn.Close()
	c.EndAttempt(a.Number, status, load)
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

// probeRequest is one question for a prober.
type probeRequest struct {
	address string
	done    func(decide.Status, decide.LoadReport)
}

// Probe asks a server for its load, on a connection that is kept from one probe to the next.
func (s *ServerDialer) Probe(to relay.Server, done func(decide.Status, decide.LoadReport)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.probeQueues == nil {
		s.probeQueues = map[decide.ServerID]chan probeRequest{}
	}
	ask := s.probeQueues[to.Number]
	if ask == nil {
		ask = make(chan probeRequest, 4)
		s.probeQueues[to.Number] = ask
		go s.probeLoop(ask)
	}
	select {
	case ask <- probeRequest{to.Address, done}:
	default: // the module never asks again so soon; if it does, nothing was sent
		go done(decide.Superseded, decide.NoLoadReport)
	}
}

// probeLoop owns the kept connection to one server.
func (s *ServerDialer) probeLoop(asks <-chan probeRequest) {
	var k probeConn
	var idle <-chan time.Time
	for {
		var p probeRequest
		select {
		case p = <-asks:
		case <-idle:
			s.closeProbeConn(&k)
			continue
		}
		if k.address != p.address {
			s.closeProbeConn(&k)
		}
		until := s.Clock.Now() + probeTimeout
		old := k.conn != nil
		status, load, err := s.probeOnce(&k, p.address, until)
		if err != nil && old && !splice.TimedOut(err) { // it was closed while idle: that says nothing of the server
			status, load, _ = s.probeOnce(&k, p.address, until)
		}
		if s.idleProbeConns.Load() > s.MaxIdleProbeConns {
			s.closeProbeConn(&k)
		}
		idle = s.Clock.After(idleProbeConnLifetime)
		p.done(status, load)
	}
}

// probeConn is a connection probeConn for probes.
type probeConn struct {
	conn    net.Conn
	lines   *lineReader
	address string
}

func (s *ServerDialer) closeProbeConn(k *probeConn) {
	if k.conn != nil {
		k.conn.Close()
		s.idleProbeConns.Add(-1)
	}
	k.conn = nil
}

// probeOnce puts one question. After any error the connection is dropped.
func (s *ServerDialer) probeOnce(k *probeConn, address string, until time.Duration) (decide.Status, decide.LoadReport, error) {
	if k.conn == nil {
		conn, err := splice.Dial(context.Background(), address, until-s.Clock.Now())
		if err != nil {
			return splice.ProbeStatus(err), decide.NoLoadReport, err
		}
		*k = probeConn{conn, newLineReader(conn), address}
		s.idleProbeConns.Add(1)
	}
	k.conn.SetDeadline(s.Clock.WallDeadline(until))
	_, err := k.conn.Write([]byte("STATS\r\n"))
	var line []byte
	if err == nil {
		line, err = k.lines.readLine()
	}
	if err != nil {
		s.closeProbeConn(k)
		if splice.TimedOut(err) {
			return decide.TimedOut, decide.NoLoadReport, err
		}
		return decide.Reset, decide.NoLoadReport, err
	}
	switch first, rest := splitFirstWord(line); first {
	case "PONG":
		return decide.OK, parseLoadReport(rest, s.LoadField), nil
	case "BUSY":
		return decide.AtCapacity, decide.NoLoadReport, nil
	case "NO":
		return decide.Superseded, decide.NoLoadReport, nil
	}
	return decide.Errored, decide.NoLoadReport, nil
}
