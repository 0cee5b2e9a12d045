package main

import (
	"encoding/xml"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

// errEnded is the error of a stream that the relay has ended.
var errEnded = errors.New("stream ended")

// alertClient is a chat client that opens a stream and listens to alerts.
type alertClient struct {
	rig  *rig
	user string
	conn net.Conn
	dec  *xml.Decoder

	mu       sync.Mutex
	stanzas  map[string]time.Time // messages received, by id
	results  map[string]time.Time // iq results received, by id
	lastAt   time.Time            // when the client last received something
	outcome  string               // how the stream ended, "" while it is open
	endedAt  time.Time
	paused   sync.Mutex // held while the client reads nothing
	condText string     // condition of the stream error, "" for none
}

// openStream opens a stream through a relay, up to the answer to resource binding.
func openStream(r *rig, address, user string, within time.Duration) (*alertClient, error) {
	conn, err := net.DialTimeout("tcp", address, within)
	if err != nil {
		return nil, err
	}
	c := &alertClient{
		rig: r, user: user, conn: conn, dec: xml.NewDecoder(conn),
		stanzas: map[string]time.Time{}, results: map[string]time.Time{}, lastAt: time.Now(),
	}
	conn.SetReadDeadline(time.Now().Add(within))
	if err := c.setUp(); err != nil {
		conn.Close()
		return nil, fmt.Errorf("%s: %w (%s)", user, err, c.condText)
	}
	conn.SetReadDeadline(time.Time{})
	return c, nil
}

const clientHeader = "<?xml version='1.0'?><stream:stream to='alerts.example' version='1.0' " +
	"xmlns='jabber:client' xmlns:stream='http://etherx.jabber.org/streams'>"

func (c *alertClient) setUp() error {
	steps := []struct{ send, await string }{
		{clientHeader, "features"},
		{"<auth xmlns='urn:ietf:params:xml:ns:xmpp-sasl' mechanism='PLAIN'>AHUAcA==</auth>", "success"},
		{clientHeader, "features"},
		{"<iq type='set' id='bind-" + c.user + "'><bind xmlns='urn:ietf:params:xml:ns:xmpp-bind'/></iq>", "iq"},
	}
	for _, step := range steps {
		if _, err := fmt.Fprint(c.conn, step.send); err != nil {
			return err
		}
		if err := c.awaitElement(step.await); err != nil {
			return err
		}
		if step.await == "success" {
			c.dec = xml.NewDecoder(c.conn)
		}
	}
	_, err := fmt.Fprint(c.conn, "<presence/>")
	return err
}

// awaitElement reads until an element with a name has been read.
func (c *alertClient) awaitElement(name string) error {
	for {
		token, err := c.dec.Token()
		if err != nil {
			return err
		}
		switch e := token.(type) {
		case xml.EndElement:
			return errEnded
		case xml.StartElement:
			if e.Name.Local == "stream" {
				continue
			}
			if e.Name.Local == "error" {
				c.readCondition()
				return errEnded
			}
			if err := c.dec.Skip(); err != nil || e.Name.Local == name {
				return err
			}
		}
	}
}

// readCondition reads the condition of a stream error.
func (c *alertClient) readCondition() {
	if token, err := c.dec.Token(); err == nil {
		if e, ok := token.(xml.StartElement); ok {
			c.condText = e.Name.Local
			c.dec.Skip()
			c.dec.Skip()
		}
	}
}

// listen reads the stream until it ends.
func (c *alertClient) listen() {
	for {
		token, err := c.nextToken()
		if err != nil {
			c.end(fmt.Sprintf("connection ended without an end tag: %v", err))
			return
		}
		switch e := token.(type) {
		case xml.EndElement:
			c.end("end tag, condition " + c.condText)
			return
		case xml.StartElement:
			if e.Name.Local == "error" && e.Name.Space != "jabber:client" {
				c.readCondition()
				continue
			}
			if err := c.dec.Skip(); err != nil {
				c.end(fmt.Sprintf("stanza cut off: %v", err))
				return
			}
			c.receive(e)
		}
	}
}

// nextToken reads the next token, once the client is not paused.
func (c *alertClient) nextToken() (xml.Token, error) {
	c.paused.Lock()
	defer c.paused.Unlock()
	return c.dec.Token()
}

func (c *alertClient) receive(e xml.StartElement) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastAt = time.Now()
	switch id := attribute(e, "id"); {
	case e.Name.Local == "message":
		c.stanzas[id] = c.lastAt
	case e.Name.Local == "iq":
		c.results[id] = c.lastAt
	}
}

func (c *alertClient) end(outcome string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcome, c.endedAt = outcome, time.Now()
	c.conn.Close()
}

// state returns how the stream ended, "" while it is open, and when, and when something last came.
func (c *alertClient) state() (outcome string, endedAt, lastAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outcome, c.endedAt, c.lastAt
}

// received returns how many messages have come.
func (c *alertClient) received() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.stanzas)
}

// unanswered returns how many of the queries sent, by id, have no answer, and for how long the oldest one has
// waited.
func (c *alertClient) unanswered(sentAt map[string]time.Time) (count int, longest time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, at := range sentAt {
		if _, ok := c.results[id]; !ok {
			count++
			longest = max(longest, time.Since(at))
		}
	}
	return count, longest
}
