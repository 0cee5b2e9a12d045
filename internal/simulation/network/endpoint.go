package network

import (
	"bytes"
	"net"
	"time"

	"github.com/hashicorp/memberlist"
)

const (
	packetQueueSize = 1024 // packets that wait to be read at an endpoint
	streamQueueSize = 64   // connections that wait to be accepted at an endpoint

	labelMessageType = 244 // type of memberlist's label message, which may begin a stream
	maxOpeningBytes  = 96
)

// endpoint is one process's attachment to the network. It implements memberlist.NodeAwareTransport.
type endpoint struct {
	network *Network
	address string
	place   Place
	from    *net.UDPAddr
	packets chan *memberlist.Packet
	streams chan net.Conn
	meter   *meter
}

// FinalAdvertiseAddr implements memberlist.Transport.
func (e *endpoint) FinalAdvertiseAddr(ip string, port int) (net.IP, int, error) {
	return net.ParseIP(ip), port, nil
}

// WriteTo implements memberlist.Transport.
func (e *endpoint) WriteTo(b []byte, to string) (time.Time, error) {
	return e.WriteToAddress(b, memberlist.Address{Addr: to})
}

// WriteToAddress implements memberlist.NodeAwareTransport. A packet that is lost in transit is still counted
// as sent, and returns no error.
func (e *endpoint) WriteToAddress(b []byte, to memberlist.Address) (time.Time, error) {
	now := time.Now()
	n := e.network
	e.meter.countPacket(now, len(b), 0)
	if n.cfg.Inspect != nil {
		n.cfg.Inspect(e.address, b)
	}
	peer, reachable := n.route(e, to.Addr)
	if peer == nil || !reachable || n.lost() {
		return now, nil
	}
	packet := &memberlist.Packet{Buf: bytes.Clone(b), From: e.from, Timestamp: now}
	if delay := n.delay(e, peer); delay > 0 {
		n.delayed.add(now, delay, delivery{peer, packet})
	} else {
		peer.receive(now, packet)
	}
	return now, nil
}

// receive queues a packet for memberlist, or drops and counts it if the queue is full.
func (e *endpoint) receive(now time.Time, p *memberlist.Packet) {
	p.Timestamp = now
	select {
	case e.packets <- p:
		e.meter.countPacket(now, 0, len(p.Buf))
	default:
		e.network.overflowed.Add(1)
	}
}

// PacketCh implements memberlist.Transport.
func (e *endpoint) PacketCh() <-chan *memberlist.Packet { return e.packets }

// StreamCh implements memberlist.Transport.
func (e *endpoint) StreamCh() <-chan net.Conn { return e.streams }

// DialTimeout implements memberlist.Transport.
func (e *endpoint) DialTimeout(to string, timeout time.Duration) (net.Conn, error) {
	return e.DialAddressTimeout(memberlist.Address{Addr: to}, timeout)
}

// DialAddressTimeout implements memberlist.NodeAwareTransport. It fails at once if no endpoint has the
// address, and after the timeout if a cut separates the endpoints.
func (e *endpoint) DialAddressTimeout(to memberlist.Address, timeout time.Duration) (net.Conn, error) {
	n := e.network
	peer, reachable := n.route(e, to.Addr)
	if peer == nil {
		return nil, ErrRefused
	}
	if _, back := n.route(peer, e.address); !reachable || !back {
		time.Sleep(timeout)
		return nil, ErrTimeout
	}
	if roundTrip := n.delay(e, peer) + n.delay(peer, e); roundTrip > 0 {
		time.Sleep(roundTrip)
	}
	here, there := net.Pipe()
	e.meter.countConnection(time.Now())
	n.mu.RLock()
	defer n.mu.RUnlock()
	if n.endpoints[to.Addr] == peer {
		select {
		case peer.streams <- &stream{Conn: there, local: peer, remote: e}:
			return &stream{Conn: here, local: e, remote: peer}, nil
		default:
		}
	}
	here.Close()
	there.Close()
	return nil, ErrRefused
}

// Shutdown implements memberlist.Transport. It removes the endpoint from the network.
func (e *endpoint) Shutdown() error {
	n := e.network
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.endpoints[e.address] == e {
		delete(n.endpoints, e.address)
	}
	for {
		select {
		case c := <-e.streams:
			c.Close()
		default:
			return nil
		}
	}
}

// stream is one end of a connection. Only its set-up is delayed; a write during a cut fails.
type stream struct {
	net.Conn
	local, remote *endpoint
	opening       []byte // beginning of the first message written, without a label
}

// Write writes to the other end, and counts the bytes at both ends.
func (s *stream) Write(b []byte) (int, error) {
	if peer, reachable := s.local.network.route(s.local, s.remote.address); peer == nil || !reachable {
		return 0, ErrTimeout
	}
	written, err := s.Conn.Write(b)
	now := time.Now()
	s.local.meter.countStream(now, written, 0)
	s.remote.meter.countStream(now, 0, written)
	if inspect := s.local.network.cfg.InspectStream; inspect != nil {
		if s.opening == nil && len(b) > 0 && b[0] != labelMessageType {
			s.opening = bytes.Clone(b[:min(len(b), maxOpeningBytes)])
		}
		inspect(s.local.address, s.opening, written)
	}
	return written, err
}
