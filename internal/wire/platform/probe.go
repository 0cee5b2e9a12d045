package platform

import (
	"cmp"
	"context"
	"net"
	"time"

	"capersail/decide"
	"capersail/internal/relay"
	"capersail/internal/wire/splice"
)

const (
	// probeTimeout is how long a probe's answer is waited for. It tells a silent machine from a slow one.
	probeTimeout = 200 * time.Millisecond
	// defaultIdleProbeLifetime is how long an unused connection for probes stays open, and its goroutine
	// lives. Servers that a deploy has replaced are probed no more, and each would hold both for good.
	defaultIdleProbeLifetime = 10 * time.Second
	// probeQueueLength: the decision module never has more probes of one server under way.
	probeQueueLength = 4
)

// probeRequest is one probe that a server's goroutine is to make.
type probeRequest struct {
	address string
	done    func(decide.Status, decide.LoadReport)
}

// Probe asks a server for its load, on a connection that is reused from one probe to the next. It does not
// block; done is called once. A server that is probed has one goroutine, until idleProbeLifetime after the
// last probe.
func (s *ServerDialer) Probe(server relay.Server, done func(decide.Status, decide.LoadReport)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.probeQueues == nil {
		s.probeQueues = map[decide.ServerID]chan probeRequest{}
	}
	queue := s.probeQueues[server.Number]
	if queue == nil {
		queue = make(chan probeRequest, probeQueueLength)
		s.probeQueues[server.Number] = queue
		go s.probeLoop(server.Number, queue)
	}
	select {
	case queue <- probeRequest{server.Address, done}:
	default: // nothing was sent
		go done(decide.Superseded, decide.NoLoadReport)
	}
}

// probeLoop owns the connection for probes of one server. It ends once the server has not been probed for a
// while.
func (s *ServerDialer) probeLoop(server decide.ServerID, queue <-chan probeRequest) {
	var conn probeConn
	var idle <-chan time.Time
	for {
		select {
		case probe := <-queue:
			status, report := s.probe(&conn, probe.address)
			idle = s.Clock.After(cmp.Or(s.idleProbeLifetime, defaultIdleProbeLifetime))
			probe.done(status, report)
		case <-idle:
			s.closeProbeConn(&conn)
			if s.removeProbeQueue(server, queue) {
				return
			}
		}
	}
}

// removeProbeQueue removes a server's queue, unless a probe has come into it meanwhile.
func (s *ServerDialer) removeProbeQueue(server decide.ServerID, queue <-chan probeRequest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(queue) > 0 {
		return false
	}
	delete(s.probeQueues, server)
	return true
}

// probe makes one probe, once more if the connection turns out to have been closed while it was idle: that
// says nothing of the server.
func (s *ServerDialer) probe(conn *probeConn, address string) (decide.Status, decide.LoadReport) {
	if conn.address != address {
		s.closeProbeConn(conn)
	}
	deadline := s.Clock.Now() + probeTimeout
	reused := conn.conn != nil
	status, report, err := s.probeOnce(conn, address, deadline)
	if err != nil && reused && !splice.TimedOut(err) {
		status, report, _ = s.probeOnce(conn, address, deadline)
	}
	if s.idleProbeConns.Load() > s.MaxIdleProbeConns {
		s.closeProbeConn(conn)
	}
	return status, report
}

// probeConn is a connection for probes; the zero value is none.
type probeConn struct {
	conn    net.Conn
	lines   *lineReader
	address string
}

func (s *ServerDialer) closeProbeConn(c *probeConn) {
	if c.conn != nil {
		c.conn.Close()
		s.idleProbeConns.Add(-1)
	}
	c.conn = nil
}

// probeOnce asks for one load report, until an instant of the clock. After any error, which is the network's,
// the connection is closed.
func (s *ServerDialer) probeOnce(
	c *probeConn, address string, deadline time.Duration,
) (decide.Status, decide.LoadReport, error) {
	if c.conn == nil {
		conn, err := splice.Dial(context.Background(), address, deadline-s.Clock.Now())
		if err != nil {
			return splice.ProbeStatus(err), decide.NoLoadReport, err
		}
		*c = probeConn{conn, newLineReader(conn), address}
		s.idleProbeConns.Add(1)
	}
	c.conn.SetDeadline(s.Clock.WallDeadline(deadline))
	_, err := c.conn.Write(encodeLine(wordProbe))
	var line []byte
	if err == nil {
		line, err = c.lines.readLine()
	}
	if err != nil {
		s.closeProbeConn(c)
		if splice.TimedOut(err) {
			return decide.TimedOut, decide.NoLoadReport, err
		}
		return decide.Reset, decide.NoLoadReport, err
	}
	switch first, rest := splitFirstWord(line); first {
	case wordPong:
		return decide.OK, parseLoadReport(rest, s.LoadField), nil
	case wordRejected:
		return decide.AtCapacity, decide.NoLoadReport, nil
	case wordNoReport:
		return decide.Superseded, decide.NoLoadReport, nil
	}
	return decide.Errored, decide.NoLoadReport, nil
}
