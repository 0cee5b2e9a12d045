package cluster

import (
	"io"
	"net"
	"sync"
	"time"
)

// ProxyMode is what a Proxy does with connections.
type ProxyMode uint8

// The modes. A connection that has been through Silent, Hung or Trickle is reset when the mode goes back to
// Pass, since what it lost is lost.
const (
	Pass    ProxyMode = iota
	Silent            // connections stay open and new ones are accepted, but nothing passes either way
	Trickle           // open connections get a byte each trickleInterval; new ones are silent
	Down              // connections are reset, and new ones are answered 503 at once
	Broken            // connections are reset, new ones as soon as they have asked
	Hung              // connections are reset, new ones are accepted and get no answer
)

// trickleInterval is the time of one byte in Trickle.
const trickleInterval = 300 * time.Millisecond

// Proxy forwards connections to an address, and fails by its mode.
type Proxy struct {
	Address string

	target   string
	listener net.Listener
	mu       sync.Mutex
	mode     ProxyMode
	changed  chan struct{} // closed when the mode changes
	open     map[*proxiedConn]struct{}
}

// proxiedConn is one connection through a Proxy.
type proxiedConn struct {
	client, server net.Conn
	bytesHeldBack  bool // bytes were held back
}

func (p *proxiedConn) reset() {
	for _, conn := range []net.Conn{p.client, p.server} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			tcp.SetLinger(0)
			tcp.Close()
		}
	}
}

// NewProxy starts a proxy on loopback that forwards to target until Close.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{
		Address:  l.Addr().String(),
		target:   target,
		listener: l,
		changed:  make(chan struct{}),
		open:     map[*proxiedConn]struct{}{},
	}
	go p.serve()
	return p, nil
}

// SetMode changes the mode, for open connections too.
func (p *Proxy) SetMode(mode ProxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		switch {
		case mode == Down, mode == Broken, mode == Hung, mode == Pass && c.bytesHeldBack:
			c.reset()
		case mode != Pass:
			c.bytesHeldBack = true
		}
	}
	p.mode = mode
	close(p.changed)
	p.changed = make(chan struct{})
}

// Close ends the proxy and its connections. It may be called again.
func (p *Proxy) Close() {
	p.listener.Close()
	p.SetMode(Broken)
}

func (p *Proxy) state() (ProxyMode, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.changed
}

func (p *Proxy) serve() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(conn)
	}
}

// add registers a connection and returns the mode that it begins in.
func (p *Proxy) add(c *proxiedConn) ProxyMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[c] = struct{}{}
	c.bytesHeldBack = p.mode != Pass
	return p.mode
}

func (p *Proxy) remove(c *proxiedConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, c)
}

func (p *Proxy) forward(conn net.Conn) {
	defer conn.Close()
	c := &proxiedConn{client: conn}
	switch p.add(c) {
	case Down, Broken:
		p.reject(conn)
		p.remove(c)
		return
	}
	defer p.remove(c)
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer server.Close()
	p.mu.Lock()
	c.server = server
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go func() {
		p.copy(server, conn)
		done <- struct{}{}
	}()
	go func() {
		p.copy(conn, server)
		done <- struct{}{}
	}()
	<-done
}

// reject answers a request with 503 in the mode Down, and resets the connection in any other.
func (p *Proxy) reject(conn net.Conn) {
	conn.SetReadDeadline(time.Now().Add(time.Second))
	conn.Read(make([]byte, 4096))
	if mode, _ := p.state(); mode == Down {
		io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
}

// copy forwards bytes one way as the mode has it, until either side ends.
func (p *Proxy) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		for part := buffer[:n]; len(part) > 0; {
			mode, changed := p.state()
			size := len(part)
			switch mode {
			case Silent, Hung:
				<-changed
				continue
			case Trickle:
				size = 1
				time.Sleep(trickleInterval)
			}
			if _, err := to.Write(part[:size]); err != nil {
				return
			}
			part = part[size:]
		}
		if err != nil {
			p.waitWhileHeld() // an end does not come through either
			return
		}
	}
}

// waitWhileHeld blocks while the mode lets nothing through.
func (p *Proxy) waitWhileHeld() {
	for {
		mode, changed := p.state()
		if mode != Silent && mode != Hung {
			return
		}
		<-changed
	}
}
