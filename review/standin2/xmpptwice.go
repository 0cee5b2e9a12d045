package main

import (
	"encoding/xml"
	"fmt"
	"maps"
	"net"
	"slices"
	"strings"
	"sync"
	"time"
)

// xmppTwiceCase lets a server drain while clients are in the middle of their SASL: it ends their streams with a
// stream error, as RFC 6120 has it for a server that shuts down, before the registry tells of the drain.
func xmppTwiceCase(h *harness) {
	const path = "/alerts/servers"
	zk := h.newRegistry(path)
	var servers []*xmppServer
	for i := range 5 {
		s := h.newXMPPServer(fmt.Sprintf("s-%d", i))
		s.challenges = true
		servers = append(servers, s)
		zk.set(path+"/"+s.id, s.node("Ready"))
	}
	address := h.freeAddress()
	config := h.writeFile("xmpp.toml", xmppConfig(address, zk.address))
	h.startRelay("n1", "--xmpp "+config, nil, "TMPDIR="+h.dir)
	h.awaitXMPP(address)
	var clients sync.WaitGroup
	for n := range 15 {
		clients.Go(func() { h.countOutcomes(address, fmt.Sprint("client ", n)) })
	}
	time.Sleep(500 * time.Millisecond)
	busiest := servers[0]
	for _, s := range servers {
		if s.connCount() > busiest.connCount() {
			busiest = s
		}
	}
	if h.trouble {
		h.logf("server %s, one of five, drains: it ends the streams that are not authenticated yet", busiest.id)
		busiest.sendAway()
		time.Sleep(2 * time.Second)
		zk.set(path+"/"+busiest.id, busiest.node("Terminating"))
		h.logf("the registry tells of the drain")
	}
	clients.Wait()
}

// sendAway ends the streams, bit by bit, with the stream error system-shutdown, and takes no more.
func (s *xmppServer) sendAway() {
	s.listener.Close()
	s.mu.Lock()
	conns := slices.Collect(maps.Keys(s.conns))
	s.mu.Unlock()
	for _, c := range conns {
		time.Sleep(80 * time.Millisecond)
		fmt.Fprint(c, "<stream:error><system-shutdown xmlns='urn:ietf:params:xml:ns:xmpp-streams'/></stream:error>"+
			"</stream:stream>")
		c.(*net.TCPConn).CloseWrite()
	}
}

// countOutcomes opens a stream, answers the server's challenge after 1.5 s, and checks that the stream gets
// exactly one outcome: it is established, or ended by one stream error.
func (h *harness) countOutcomes(address, name string) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		h.cannotRun("%v", err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	header := fmt.Sprintf("<stream:stream to='alerts.example' %s>", streamNamespaces)
	fmt.Fprint(conn, "<?xml version='1.0'?>"+header)
	var outcomes []string
	server := ""
	for d := xml.NewDecoder(conn); ; {
		token, err := d.RawToken()
		if err != nil {
			break
		}
		t, ok := token.(xml.StartElement)
		if !ok {
			continue
		}
		switch t.Name.Local {
		case "stream":
			server = attr(t, "id")
		case "mechanisms":
			fmt.Fprintf(conn, "<auth xmlns='%s' mechanism='SCRAM-SHA-1'>bixh</auth>", saslNamespace)
		case "challenge":
			time.AfterFunc(1500*time.Millisecond, func() {
				fmt.Fprintf(conn, "<response xmlns='%s'>Yz0=</response>", saslNamespace)
			})
		case "success":
			fmt.Fprint(conn, header)
		case "bind":
			outcomes = append(outcomes, "established")
			fmt.Fprint(conn, "</stream:stream>")
		case "error":
			next, _ := d.RawToken()
			if e, ok := next.(xml.StartElement); ok {
				outcomes = append(outcomes, e.Name.Local)
			}
		}
	}
	h.logf("%s at %s: %s", name, server, strings.Join(outcomes, ", "))
	if len(outcomes) != 1 {
		h.breaks("%s at %s: its stream got %d outcomes: %s", name, server, len(outcomes), strings.Join(outcomes, ", "))
	}
}
