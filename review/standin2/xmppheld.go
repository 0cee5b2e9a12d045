package main

import (
	"encoding/xml"
	"errors"
	"fmt"
	"net"
	"os"
	"time"
)

const (
	// drainLimit is when no client's connection may be held any more after the start of a drain of the relay
	// (DAYS, Draining a relay), with the 50 ms of PROTOCOL.
	drainLimit = 4*time.Second + socketSlack
	// promptTime is how long a client takes from the features to its SASL, as one that asks its user for a
	// password. The operator's file allows 8 s for the set-up.
	promptTime = 6500 * time.Millisecond
)

// xmppHeldCase drains a relay by its admin address while clients are in the middle of their authentication.
func xmppHeldCase(h *harness) {
	const path = "/alerts/servers"
	zk := h.newRegistry(path)
	for i := range 3 {
		s := h.newXMPPServer(fmt.Sprintf("s-%d", i))
		zk.set(path+"/"+s.id, s.node("Ready"))
	}
	d := h.newDiscovery()
	for i := range 3 {
		s := h.newTileServer(fmt.Sprintf("t-%d", i))
		d.set(s.id, s.address(), "Ready", 0)
	}
	lines, address, admin := h.freeAddress(), h.freeAddress(), h.freeAddress()
	config := h.writeFile("config.json", casaConfig("n1", lines, d.address, d.list(), 1, 0))
	operator := h.writeFile("xmpp.toml", xmppConfig(address, zk.address))
	h.startRelay("n1", "--xmpp "+operator, nil, "LB_CONFIG="+config, "LB_ADMIN="+admin, "TMPDIR="+h.dir)
	if !awaitReady(admin, 10*time.Second) {
		h.cannotRun("the relay is not ready")
	}
	h.awaitXMPP(address)

	// One client that is established, one of the platform's, and three that think about their password.
	ended := make(chan heldClient, 8)
	go func() {
		s, outcome := h.openXMPP(address, 9*time.Second)
		if outcome != "established" {
			ended <- heldClient{"established stream", time.Now(), outcome}
			return
		}
		ended <- heldClient{"established stream", time.Time{}, ""}
		end := s.awaitEnd(time.Now().Add(20 * time.Second))
		ended <- heldClient{"established stream", time.Now(), end}
	}()
	if first := <-ended; !first.at.IsZero() {
		h.cannotRun("no stream: %s", first.how)
	}
	go func() {
		r := h.runClient(lines, 20*time.Second)
		ended <- heldClient{"platform's client", time.Now(), r.answer + " " + r.end}
	}()
	for n := range 3 {
		go func() {
			how := h.promptingClient(address, fmt.Sprint("prompting client ", n))
			ended <- heldClient{fmt.Sprint("prompting client ", n), time.Now(), how}
		}()
	}
	time.Sleep(time.Second)
	if !h.trouble {
		h.logf("no drain")
		h.collectHeld(ended, 3, time.Time{})
		return
	}
	drainedAt := time.Now()
	h.logf("POST /ops/drain/start: %d", call("POST", "http://"+admin+"/ops/drain/start"))
	h.collectHeld(ended, 5, drainedAt)
}

// heldClient is how and when a client's connection ended.
type heldClient struct {
	name string
	at   time.Time
	how  string
}

// collectHeld waits for the end of n connections, and checks the rule if the relay was drained.
func (h *harness) collectHeld(ended <-chan heldClient, n int, drainedAt time.Time) {
	for range n {
		c := <-ended
		if drainedAt.IsZero() {
			h.logf("%s: %s", c.name, c.how)
			continue
		}
		after := c.at.Sub(drainedAt)
		h.logf("%s: ended %.2f s after the start of the drain: %s", c.name, after.Seconds(), c.how)
		if after > drainLimit {
			h.breaks("%s: its connection was still held 4 s after the start of the drain, and not moved; it ended "+
				"after %.2f s", c.name, after.Seconds())
		}
	}
}

// awaitEnd reads the stream until it ends and returns the condition of its stream error. At the deadline it closes
// the stream in order and returns "".
func (s *xmppStream) awaitEnd(deadline time.Time) string {
	s.conn.SetReadDeadline(deadline)
	how := "end of the stream"
	for {
		token, err := s.xml.RawToken()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			s.close()
			return ""
		}
		if err != nil {
			s.conn.Close()
			return how
		}
		if t, ok := token.(xml.StartElement); ok && t.Name.Space == "stream" && t.Name.Local == "error" {
			next, _ := s.xml.RawToken()
			if e, ok := next.(xml.StartElement); ok {
				how = "stream error " + e.Name.Local
			}
		}
	}
}

// promptingClient opens a stream and sends its SASL only after promptTime. It returns how its stream ended.
func (h *harness) promptingClient(address, name string) string {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return err.Error()
	}
	s := &xmppStream{conn: conn, xml: xml.NewDecoder(conn)}
	fmt.Fprintf(conn, "<?xml version='1.0'?><stream:stream to='alerts.example' %s>", streamNamespaces)
	for {
		token, err := s.xml.RawToken()
		if err != nil {
			return "no outcome: " + err.Error()
		}
		if t, ok := token.(xml.StartElement); ok && t.Name.Local == "mechanisms" {
			break
		}
	}
	h.logf("%s has the features of %s", name, "its server")
	stop := time.AfterFunc(promptTime, func() {
		fmt.Fprintf(conn, "<auth xmlns='%s' mechanism='PLAIN'>AGEAYg==</auth>", saslNamespace)
		h.logf("%s sent its SASL", name)
	})
	defer stop.Stop()
	conn.SetReadDeadline(time.Now().Add(12 * time.Second))
	for {
		token, err := s.xml.RawToken()
		if err != nil {
			conn.Close()
			return "end of the connection"
		}
		t, ok := token.(xml.StartElement)
		switch {
		case ok && t.Name.Space == "stream" && t.Name.Local == "error":
			next, _ := s.xml.RawToken()
			conn.Close()
			if e, ok := next.(xml.StartElement); ok {
				return "stream error " + e.Name.Local
			}
			return "stream error"
		case ok && t.Name.Local == "success":
			fmt.Fprintf(conn, "<stream:stream to='alerts.example' %s>", streamNamespaces)
		case ok && t.Name.Local == "bind":
			if os.Getenv("TROUBLE") == "0" {
				s.close()
				return "established after the prompt"
			}
		}
	}
}
