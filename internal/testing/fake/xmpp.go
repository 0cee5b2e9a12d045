package fake

import (
	"encoding/xml"
	"fmt"
	"io"
	"net"
	"sync"
)

// XMPP is a server that accepts any PLAIN authentication and echoes stanzas. It parses with encoding/xml, so
// the program's own parser is tested against an independent one.
type XMPP struct {
	Address string
	// HoldAt is the stage from which the server no longer answers a connection: "header", "auth", or "" for
	// none.
	HoldAt string
	// Flood is written to each connection over and over from its stage "up" on, until the peer closes it; ""
	// for nothing. It must be set before the first client connects.
	Flood string
	// Stages receives one entry per stage of a connection: "header", "auth", "up", and "message ID" for each
	// stanza; "closed" once a connection that is flooded is closed.
	Stages chan string

	acceptor acceptor

	mu     sync.Mutex
	silent bool
}

// NewXMPP starts a server on loopback that runs until Kill. It fails if it cannot listen.
func NewXMPP(hold string) (*XMPP, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &XMPP{Address: l.Addr().String(), HoldAt: hold, Stages: make(chan string, 4096)}
	s.acceptor.start(l, s.serve)
	return s, nil
}

// Kill stops the server as the death of a process does: connections are reset, and new ones are refused. It
// may be called again.
func (s *XMPP) Kill() {
	s.acceptor.reset()
}

// SetSilent makes the server stop answering on connections, which stay open.
func (s *XMPP) SetSilent() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = true
}

func (s *XMPP) send(c net.Conn, format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.silent {
		fmt.Fprintf(c, format, args...)
	}
}

const streamHeader = "<?xml version='1.0'?><stream:stream from='alerts.example' id='s1' version='1.0' " +
	"xmlns='jabber:client' xmlns:stream='http://etherx.jabber.org/streams'>"

func (s *XMPP) serve(c net.Conn) {
	defer c.Close()
	d, authed := xml.NewDecoder(c), false
	for {
		t, err := d.Token()
		if err != nil {
			return
		}
		if end, ok := t.(xml.EndElement); ok && end.Name.Local == "stream" {
			s.send(c, "</stream:stream>")
			return
		}
		start, ok := t.(xml.StartElement)
		if !ok {
			continue
		}
		switch start.Name.Local {
		case "stream":
			s.answerStreamHeader(c, authed)
		case "auth":
			d.Skip()
			s.Stages <- "auth"
			if s.HoldAt != "auth" {
				s.send(c, "<success xmlns='urn:ietf:params:xml:ns:xmpp-sasl'/>")
				d, authed = xml.NewDecoder(c), true
			}
		default:
			d.Skip()
			s.answerStanza(c, start)
		}
	}
}

// answerStreamHeader answers a stream header.
func (s *XMPP) answerStreamHeader(c net.Conn, authed bool) {
	switch {
	case authed:
		s.send(c, "%s<stream:features><bind xmlns='urn:ietf:params:xml:ns:xmpp-bind'/></stream:features>",
			streamHeader)
		s.Stages <- "up"
		s.flood(c)
	case s.HoldAt == "header":
		s.Stages <- "header"
	default:
		s.send(c, "%s<stream:features><starttls xmlns='urn:ietf:params:xml:ns:xmpp-tls'/>"+
			"<mechanisms xmlns='urn:ietf:params:xml:ns:xmpp-sasl'><mechanism>PLAIN</mechanism></mechanisms>"+
			"</stream:features>", streamHeader)
		s.Stages <- "header"
	}
}

// flood writes Flood to a connection until that fails.
func (s *XMPP) flood(c net.Conn) {
	if s.Flood == "" {
		return
	}
	for {
		if _, err := io.WriteString(c, s.Flood); err != nil {
			s.Stages <- "closed"
			return
		}
	}
}

// answerStanza answers an iq with a result, and echoes any other stanza.
func (s *XMPP) answerStanza(c net.Conn, start xml.StartElement) {
	id := ""
	for _, a := range start.Attr {
		if a.Name.Local == "id" {
			id = a.Value
		}
	}
	if start.Name.Local == "iq" {
		s.send(c, "<iq type='result' id='%s'/>", id)
		return
	}
	s.Stages <- start.Name.Local + " " + id
	s.send(c, "<%s id='%s'><body>&lt;echo&gt;<![CDATA[</message>]]></body></%[1]s>", start.Name.Local, id)
}
