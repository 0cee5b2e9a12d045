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
	// probeTimeout is how long a probe waits for its answer. A server that takes longer counts as silent.
	probeTimeout = 200 * time.Millisecond
	// defaultIdleProbeLifetime is how long the connection and the goroutine for probes of one server are kept
	// after the last probe. Without this bound a server that a deploy has replaced would keep both forever.
	defaultIdleProbeLifetime = 10 * time.Second
	// probeQueueLength is the most probes of one server that the decision module has in progress at once.
	probeQueueLength = 4
)

// probeRequest is one queued probe of a server.
type probeRequest struct {
	address string
	done    func(decide.Status, decide.LoadReport)
}

// Probe asks a server for its load on a connection that is reused between probes. It does not block; done is
// called exactly once. Each probed server has one goroutine, which ends idleProbeLifetime after the last
// probe.
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
	default: // the queue is full: no probe is sent
		go done(decide.Superseded, decide.NoLoadReport)
	}
}

// probeLoop owns the connection for probes of one server. It returns once the server has not been probed for
// the idle lifetime.
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

// removeProbeQueue removes a server's queue and returns true, unless a probe has been queued in the meantime.
func (s *ServerDialer) removeProbeQueue(server decide.ServerID, queue <-chan probeRequest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(queue) > 0 {
		return false
	}
	delete(s.probeQueues, server)
	return true
}

// probe makes one probe. It retries once on a new connection if a reused connection fails other than by a
// time-out: a connection that was closed while idle says nothing about the server's state.
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

// probeConn is a connection for probes. The zero value has no open connection.
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

// probeOnce asks for one load report and waits for it until deadline, a time of s.Clock. Errors are network
// errors; after an error the connection is closed.
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
