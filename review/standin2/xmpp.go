package main

import (
	"encoding/xml"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	streamNamespaces = "version='1.0' xmlns='jabber:client' xmlns:stream='http://etherx.jabber.org/streams'"
	saslNamespace    = "urn:ietf:params:xml:ns:xmpp-sasl"
)

// xmppServer is a server of RFC 6120 that takes every client and answers its iqs.
type xmppServer struct {
	h        *harness
	id       string
	listener net.Listener
	onAuth   func(connectedAt time.Time) // called when a client's SASL has come, so not for probes

	challenges bool // SASL takes a challenge and a response

	mu     sync.Mutex
	wake   *sync.Cond // on mu: signals the end of silent
	silent bool       // reads nothing and answers nothing
	conns  map[net.Conn]bool
	iqs    map[string]bool // ids of the iqs that were processed
}

func (h *harness) newXMPPServer(id string) *xmppServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		h.cannotRun("%v", err)
	}
	s := &xmppServer{h: h, id: id, listener: l, conns: map[net.Conn]bool{}, iqs: map[string]bool{}}
	s.wake = sync.NewCond(&s.mu)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c, time.Now())
		}
	}()
	return s
}

// setSilent makes the server take connections and data but answer nothing. At the end of that it comes back as a
// new process: what it had is reset.
func (s *xmppServer) setSilent(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = on
	if on {
		return
	}
	for c := range s.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	s.wake.Broadcast()
}

// stop ends the server's process.
func (s *xmppServer) stop() {
	s.listener.Close()
	s.setSilent(false)
}

func (s *xmppServer) connCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// awaitSound blocks while the server is silent.
func (s *xmppServer) awaitSound() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.silent {
		s.wake.Wait()
	}
}

func (s *xmppServer) node(lifecycle string) string {
	return fmt.Sprintf(`{"address":%q,"lifecycle":%q,"zone":"hall-a","startedAtMs":0}`,
		s.listener.Addr().String(), lifecycle)
}

func (s *xmppServer) serve(c net.Conn, connectedAt time.Time) {
	defer c.Close()
	s.mu.Lock()
	s.conns[c] = true
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	d := xml.NewDecoder(c)
	authenticated := false
	for {
		token, err := d.RawToken()
		s.awaitSound()
		if err != nil {
			return
		}
		switch t := token.(type) {
		case xml.StartElement:
			switch t.Name.Local {
			case "stream":
				features := "<mechanisms xmlns='" + saslNamespace + "'><mechanism>PLAIN</mechanism></mechanisms>"
				if authenticated {
					features = "<bind xmlns='urn:ietf:params:xml:ns:xmpp-bind'/>"
				}
				fmt.Fprintf(c, "<?xml version='1.0'?><stream:stream id='%s' from='alerts.example' %s>"+
					"<stream:features>%s</stream:features>", s.id, streamNamespaces, features)
			case "auth", "response":
				if s.onAuth != nil {
					s.onAuth(connectedAt)
				}
				if s.challenges && t.Name.Local == "auth" {
					fmt.Fprintf(c, "<challenge xmlns='%s'>cj1h</challenge>", saslNamespace)
					continue
				}
				authenticated = true
				fmt.Fprintf(c, "<success xmlns='%s'/>", saslNamespace)
			case "iq":
				if _, err := fmt.Fprintf(c, "<iq type='result' id='%s'/>", attr(t, "id")); err == nil {
					s.mu.Lock()
					s.iqs[attr(t, "id")] = true
					s.mu.Unlock()
				}
			}
		case xml.EndElement:
			if t.Name.Local == "stream" {
				fmt.Fprint(c, "</stream:stream>")
				return
			}
		}
	}
}

func attr(t xml.StartElement, name string) string {
	for _, a := range t.Attr {
		if a.Name.Local == name {
			return a.Value
		}
	}
	return ""
}

var streamCount atomic.Int64

// xmppStream is a client's stream.
type xmppStream struct {
	number int64
	conn   net.Conn
	xml    *xml.Decoder
	server string // id of the stream, by which the stand-ins name themselves
}

// openXMPP opens a stream and authenticates. The outcome is "established", or the condition of the stream error,
// or the error of the connection.
func (h *harness) openXMPP(address string, limit time.Duration) (*xmppStream, string) {
	s := &xmppStream{number: streamCount.Add(1)}
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return s, err.Error()
	}
	s.conn, s.xml = conn, xml.NewDecoder(conn)
	conn.SetDeadline(time.Now().Add(limit))
	header := fmt.Sprintf("<?xml version='1.0'?><stream:stream to='alerts.example' %s>", streamNamespaces)
	fmt.Fprint(conn, header)
	for stage := 0; ; {
		token, err := s.xml.RawToken()
		if err != nil {
			conn.Close()
			return s, "no outcome: " + err.Error()
		}
		t, ok := token.(xml.StartElement)
		if !ok {
			continue
		}
		switch t.Name.Local {
		case "stream":
			s.server = attr(t, "id")
		case "mechanisms":
			fmt.Fprintf(conn, "<auth xmlns='%s' mechanism='PLAIN'>AGEAYg==</auth>", saslNamespace)
		case "challenge":
			fmt.Fprintf(conn, "<response xmlns='%s'>Yz0=</response>", saslNamespace)
		case "success":
			fmt.Fprint(conn, strings.TrimPrefix(header, "<?xml version='1.0'?>"))
			stage = 1
		case "bind":
			if stage == 1 {
				conn.SetDeadline(time.Time{})
				return s, "established"
			}
		case "error":
			next, _ := s.xml.RawToken()
			if e, ok := next.(xml.StartElement); ok {
				conn.Close()
				return s, e.Name.Local
			}
		}
	}
}

// close ends the stream in order.
func (s *xmppStream) close() {
	fmt.Fprint(s.conn, "</stream:stream>")
	s.conn.SetReadDeadline(time.Now().Add(time.Second))
	for {
		if _, err := s.xml.RawToken(); err != nil {
			break
		}
	}
	s.conn.Close()
}

// xmppConfig returns an operator's file for the XMPP front.
func xmppConfig(listen, registry string) string {
	return fmt.Sprintf(`listen = %q
plaintext = true
zone = "hall-a"
zones = ["hall-a", "hall-b", "hall-c"]
me = 0
relays = 1
sockets = 1024
silent_ms = 5000
connect_ms = 1000
max_retry_after_ms = 5000

[zookeeper]
servers = [%q]
path = "/alerts/servers"
session_ms = 6000

[[class]]
name = "alerts"
setup_ms = 1000
deadline_ms = 8000
worth = 1

[[host]]
to = "alerts.example"
class = "alerts"
tenant = "weather"
`, listen, registry)
}
