package main

import (
	"encoding/xml"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const serverHeader = "<?xml version='1.0'?><stream:stream from='alerts.example' id='s1' version='1.0' " +
	"xmlns='jabber:client' xmlns:stream='http://etherx.jabber.org/streams'>"

// alertServer is an XMPP server of RFC 6120 that accepts every PLAIN authentication, answers every iq with a
// result, and pushes alerts to the streams that are up.
type alertServer struct {
	rig     *rig
	name    string
	address string

	answered atomic.Int64 // queries answered

	mu      sync.Mutex
	streams map[*serverStream]bool // open, from the TCP connection on
}

// serverStream is one stream of a client at a server.
type serverStream struct {
	conn net.Conn
	user string
	mu   sync.Mutex // for writing
	up   bool       // guarded by the server's mu
}

func newAlertServer(r *rig, name string) (*alertServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &alertServer{
		rig: r, name: name, address: l.Addr().String(), streams: map[*serverStream]bool{},
	}
	go s.accept(l)
	return s, nil
}

func (s *alertServer) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

// send writes to a stream.
func (s *alertServer) send(t *serverStream, format string, args ...any) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conn.SetWriteDeadline(time.Now().Add(20 * time.Second))
	_, err := fmt.Fprintf(t.conn, format, args...)
	return err
}

// serve serves one connection until it ends.
func (s *alertServer) serve(c net.Conn) {
	t := &serverStream{conn: c}
	s.mu.Lock()
	s.streams[t] = true
	s.mu.Unlock()
	err := s.readStream(t)
	s.mu.Lock()
	delete(s.streams, t)
	up := t.up
	s.mu.Unlock()
	if up {
		s.rig.note("server %s: the stream of %s has ended: %v", s.name, t.user, err)
	}
	c.Close()
}

// readStream reads a stream until it ends.
func (s *alertServer) readStream(t *serverStream) error {
	d, authenticated := xml.NewDecoder(t.conn), false
	for {
		token, err := d.Token()
		if err != nil {
			return err
		}
		if end, ok := token.(xml.EndElement); ok && end.Name.Local == "stream" {
			return s.send(t, "</stream:stream>")
		}
		start, ok := token.(xml.StartElement)
		if !ok {
			continue
		}
		if start.Name.Local != "stream" {
			d.Skip()
		}
		switch start.Name.Local {
		case "stream":
			err = s.answerHeader(t, authenticated)
		case "auth":
			err = s.send(t, "<success xmlns='urn:ietf:params:xml:ns:xmpp-sasl'/>")
			d, authenticated = xml.NewDecoder(t.conn), true
		case "iq":
			err = s.answerIQ(t, start)
		}
		if err != nil {
			return err
		}
	}
}

func (s *alertServer) answerHeader(t *serverStream, authenticated bool) error {
	if authenticated {
		return s.send(t, "%s<stream:features><bind xmlns='urn:ietf:params:xml:ns:xmpp-bind'/>"+
			"</stream:features>", serverHeader)
	}
	return s.send(t, "%s<stream:features><mechanisms xmlns='urn:ietf:params:xml:ns:xmpp-sasl'>"+
		"<mechanism>PLAIN</mechanism></mechanisms></stream:features>", serverHeader)
}

// answerIQ answers an iq with a result. The one with the id `bind-USER` brings the stream up.
func (s *alertServer) answerIQ(t *serverStream, start xml.StartElement) error {
	id, kind := attribute(start, "id"), attribute(start, "type")
	if kind != "get" && kind != "set" {
		return nil
	}
	if _, err := fmt.Sscanf(id, "bind-%s", &t.user); err == nil {
		s.mu.Lock()
		t.up = true
		s.mu.Unlock()
	}
	if kind == "get" {
		s.answered.Add(1)
	}
	return s.send(t, "<iq type='result' id='%s'/>", id)
}

// upStreams returns the streams that are up.
func (s *alertServer) upStreams() (all []*serverStream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for t := range s.streams {
		if t.up {
			all = append(all, t)
		}
	}
	return all
}

// node returns the text of the server's node in the registry.
func (s *alertServer) node() string {
	return fmt.Sprintf(`{"address":%q,"lifecycle":"Ready","zone":"hall-a"}`, s.address)
}

func attribute(e xml.StartElement, name string) string {
	for _, a := range e.Attr {
		if a.Name.Local == name && a.Name.Space == "" {
			return a.Value
		}
	}
	return ""
}
