package main

import (
	"encoding/base64"
	"encoding/xml"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	saslNamespace = "urn:ietf:params:xml:ns:xmpp-sasl"
	bindNamespace = "urn:ietf:params:xml:ns:xmpp-bind"
	pingNamespace = "urn:xmpp:ping"
)

func streamHeader(attr, host string) string {
	return fmt.Sprintf("<?xml version='1.0'?><stream:stream %s='%s' version='1.0' xmlns='jabber:client' "+
		"xmlns:stream='http://etherx.jabber.org/streams'>", attr, host)
}

// stanza is a first-level element of a stream.
type stanza struct {
	XMLName xml.Name
	ID      string `xml:"id,attr"`
	Type    string `xml:"type,attr"`
	From    string `xml:"from,attr"`
	Inner   string `xml:",innerxml"`
}

// xmppServer is a sound XMPP server (RFC 6120, XEP-0199): SASL PLAIN, results for iq, no replies to messages.
// It handles the stanzas of a stream in their order, and pushes to open streams what push is told.
type xmppServer struct {
	address  string
	received func(id string, at time.Time) // called for each stanza

	mu      sync.Mutex
	streams map[*xmppStream]bool
}

type xmppStream struct {
	net.Conn
	outbox chan string
	mu     sync.Mutex
}

// maxOutbox is how many messages wait for a stream.
const maxOutbox = 4096

// sendOutbox sends what waits for the stream until its connection fails.
func (s *xmppStream) sendOutbox(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case text := <-s.outbox:
			if s.send("%s", text) != nil {
				return
			}
		}
	}
}

func (s *xmppStream) send(format string, args ...any) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, err := fmt.Fprintf(s.Conn, format, args...)
	return err
}

func startXMPPServer(received func(id string, at time.Time)) (*xmppServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &xmppServer{address: l.Addr().String(), received: received, streams: map[*xmppStream]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(&xmppStream{Conn: c, outbox: make(chan string, maxOutbox)})
		}
	}()
	return s, nil
}

// push sends a message to every open stream, in the order of the calls. Messages for a stream whose peer
// does not read wait at the server.
func (s *xmppServer) push(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.streams {
		select {
		case c.outbox <- text:
		default:
		}
	}
}

func (s *xmppServer) open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.streams)
}

func (s *xmppServer) serve(c *xmppStream) {
	defer c.Close()
	done := make(chan struct{})
	defer close(done)
	go c.sendOutbox(done)
	defer func() {
		s.mu.Lock()
		delete(s.streams, c)
		s.mu.Unlock()
	}()
	d, authenticated := xml.NewDecoder(c), false
	for {
		token, err := d.Token()
		if err != nil {
			return
		}
		if end, ok := token.(xml.EndElement); ok && end.Name.Local == "stream" {
			c.send("</stream:stream>")
			return
		}
		start, ok := token.(xml.StartElement)
		if !ok {
			continue
		}
		switch start.Name.Local {
		case "stream":
			features := "<mechanisms xmlns='" + saslNamespace + "'><mechanism>PLAIN</mechanism></mechanisms>"
			if authenticated {
				features = "<bind xmlns='" + bindNamespace + "'/>"
			}
			c.send("%s<stream:features>%s</stream:features>", streamHeader("from", "alerts.example"), features)
			if authenticated {
				s.mu.Lock()
				s.streams[c] = true
				s.mu.Unlock()
			}
		case "auth":
			d.Skip()
			c.send("<success xmlns='%s'/>", saslNamespace)
			d, authenticated = xml.NewDecoder(c), true
		default:
			var in stanza
			if d.DecodeElement(&in, &start) != nil {
				return
			}
			s.handle(c, &in)
		}
	}
}

func (s *xmppServer) handle(c *xmppStream, in *stanza) {
	if in.XMLName.Local == "iq" {
		if in.Type == "get" || in.Type == "set" {
			c.send("<iq type='result' id='%s'/>", in.ID)
		}
	}
	s.received(in.ID, time.Now())
}

// xmppClient is a sound XMPP client.
type xmppClient struct {
	conn    net.Conn
	decoder *xml.Decoder
}

var errNotOpened = errors.New("stream not opened")

// openXMPP opens a stream and authenticates.
func openXMPP(address, host string, configure func(*net.TCPConn)) (*xmppClient, error) {
	conn, err := net.DialTimeout("tcp", address, 3*time.Second)
	if err != nil {
		return nil, err
	}
	if configure != nil {
		configure(conn.(*net.TCPConn))
	}
	c := &xmppClient{conn: conn, decoder: xml.NewDecoder(conn)}
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	fmt.Fprint(conn, streamHeader("to", host))
	if err := c.await("features"); err != nil {
		return nil, err
	}
	plain := base64.StdEncoding.EncodeToString([]byte("\x00user\x00secret"))
	fmt.Fprintf(conn, "<auth xmlns='%s' mechanism='PLAIN'>%s</auth>", saslNamespace, plain)
	if err := c.await("success"); err != nil {
		return nil, err
	}
	c.decoder = xml.NewDecoder(conn)
	fmt.Fprint(conn, streamHeader("to", host))
	if err := c.await("features"); err != nil {
		return nil, err
	}
	conn.SetDeadline(time.Time{})
	return c, nil
}

func (c *xmppClient) await(name string) error {
	for {
		token, err := c.decoder.Token()
		if err != nil {
			c.conn.Close()
			return err
		}
		start, ok := token.(xml.StartElement)
		if !ok || start.Name.Local == "stream" {
			continue
		}
		if err := c.decoder.Skip(); err != nil {
			c.conn.Close()
			return err
		}
		if start.Name.Local != name {
			c.conn.Close()
			return errNotOpened
		}
		return nil
	}
}

// next reads the next stanza. The error says how the stream ended: errStreamEnd for the end tag, or that of the
// connection.
func (c *xmppClient) next() (*stanza, error) {
	for {
		token, err := c.decoder.Token()
		if err != nil {
			return nil, err
		}
		if end, ok := token.(xml.EndElement); ok && end.Name.Local == "stream" {
			return nil, errStreamEnd
		}
		start, ok := token.(xml.StartElement)
		if !ok {
			continue
		}
		var in stanza
		if err := c.decoder.DecodeElement(&in, &start); err != nil {
			return nil, err
		}
		return &in, nil
	}
}

var errStreamEnd = errors.New("end tag of the stream")
