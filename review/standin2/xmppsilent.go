package main

import (
	"encoding/xml"
	"fmt"
	"math/rand"
	"sync"
	"time"
)

const (
	silentServers = 6                      // one of them goes silent: 16.7%, BRIEF allows up to 18%
	silentFor     = 12 * time.Second       // BRIEF: 8.2 to 28 s
	silentClients = 24                     // 4 at each server
	endRace       = 500 * time.Millisecond // an iq sent later before the end of its stream is not counted
)

// iqRecord is what became of one iq of a client.
type iqRecord struct {
	id       string
	server   string
	sentAt   time.Time
	answer   string // "result", "error" or "" for none
	streamAt time.Time
	streamBy string // how its stream ended, "" if it has not
}

// xmppSilentCase lets one server go silent while clients send iqs.
func xmppSilentCase(h *harness) {
	const path = "/alerts/servers"
	zk := h.newRegistry(path)
	var servers []*xmppServer
	for i := range silentServers {
		s := h.newXMPPServer(fmt.Sprintf("s-%d", i))
		servers = append(servers, s)
		zk.set(path+"/"+s.id, s.node("Ready"))
	}
	address := h.freeAddress()
	config := h.writeFile("xmpp.toml", xmppConfig(address, zk.address))
	h.startRelay("n1", "--xmpp "+config, nil, "TMPDIR="+h.dir)
	h.awaitXMPP(address)
	var mu sync.Mutex
	var records []*iqRecord
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for n := range silentClients {
		clients.Go(func() {
			random := rand.New(rand.NewSource(int64(n)))
			for {
				select {
				case <-stop:
					return
				default:
				}
				all := h.chat(address, random, stop)
				mu.Lock()
				records = append(records, all...)
				mu.Unlock()
				time.Sleep(time.Duration(170+random.Intn(1230)) * time.Millisecond)
			}
		})
	}
	time.Sleep(6 * time.Second)
	busiest := servers[0]
	for _, s := range servers {
		if s.connCount() > busiest.connCount() {
			busiest = s
		}
	}
	if h.trouble {
		h.logf("server %s, which has the most streams, falls silent", busiest.id)
		busiest.setSilent(true)
	}
	time.Sleep(silentFor)
	if h.trouble {
		busiest.setSilent(false)
		h.logf("server %s is back as a new process", busiest.id)
	}
	time.Sleep(3 * time.Second)
	close(stop)
	clients.Wait()
	counts := map[string]int{}
	for _, r := range records {
		switch {
		case r.answer != "":
			counts[r.answer]++
		case r.streamBy == "closed by the client", r.streamAt.Sub(r.sentAt) < endRace:
			counts["not counted: sent just before its stream ended"]++
		default:
			counts["never answered"]++
			h.breaks("iq %s, sent to the relay %.2f s before its stream at %s ended (%s), got neither a result nor "+
				"an error", r.id, r.streamAt.Sub(r.sentAt).Seconds(), r.server, r.streamBy)
		}
	}
	for what, n := range counts {
		h.logf("%5d iqs: %s", n, what)
	}
}

// awaitXMPP waits until the relay establishes streams.
func (h *harness) awaitXMPP(address string) {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if s, outcome := h.openXMPP(address, 2*time.Second); outcome == "established" {
			s.close()
			return
		}
	}
	h.cannotRun("no stream was established within 10 s of the start")
}

var iqCount int64
var iqMu sync.Mutex

// chat opens a stream and sends an iq every 0.5 to 2.5 s until the stream ends. It returns what became of each.
func (h *harness) chat(address string, random *rand.Rand, stop <-chan struct{}) (all []*iqRecord) {
	s, outcome := h.openXMPP(address, 9*time.Second)
	h.logf("stream %d: %s at %s", s.number, outcome, s.server)
	if outcome != "established" {
		return nil
	}
	defer s.conn.Close()
	var mu sync.Mutex
	byID := map[string]*iqRecord{}
	ended := make(chan string, 1)
	go func() {
		by := "connection ended"
		for {
			token, err := s.xml.RawToken()
			if err != nil {
				ended <- by
				return
			}
			t, ok := token.(xml.StartElement)
			if !ok {
				continue
			}
			switch {
			case t.Name.Space == "stream" && t.Name.Local == "error":
				next, _ := s.xml.RawToken()
				if e, ok := next.(xml.StartElement); ok {
					by = "stream error " + e.Name.Local
				}
			case t.Name.Local == "iq":
				mu.Lock()
				if r := byID[attr(t, "id")]; r != nil {
					r.answer = attr(t, "type")
				}
				mu.Unlock()
			}
		}
	}()
	for {
		select {
		case by := <-ended:
			mu.Lock()
			defer mu.Unlock()
			for _, r := range all {
				r.streamAt, r.streamBy = time.Now(), by
			}
			h.logf("stream %d at %s ended: %s", s.number, s.server, by)
			return all
		case <-stop:
			mu.Lock()
			defer mu.Unlock()
			for _, r := range all {
				r.streamAt, r.streamBy = time.Now(), "closed by the client"
			}
			return all
		case <-time.After(time.Duration(500+random.Intn(2000)) * time.Millisecond):
		}
		iqMu.Lock()
		iqCount++
		r := &iqRecord{id: fmt.Sprintf("q%d", iqCount), server: s.server, sentAt: time.Now()}
		iqMu.Unlock()
		mu.Lock()
		byID[r.id] = r
		mu.Unlock()
		if _, err := fmt.Fprintf(s.conn, "<iq type='get' id='%s'><query xmlns='urn:alerts'/></iq>", r.id); err == nil {
			h.logf("stream %d at %s: iq %s sent", s.number, s.server, r.id)
			all = append(all, r)
		}
	}
}
