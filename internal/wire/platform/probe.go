package platform

import (
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
	// idleProbeConnLifetime is how long a connection for probes is kept unused. Servers that a deploy has replaced are probed
	// no more, and each would hold a descriptor for good.
	idleProbeConnLifetime = 10 * time.Second
)

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
