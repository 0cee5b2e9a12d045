package main

import (
	"bufio"
	"fmt"
	"net"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	badClients     = 6
	badClientEvery = 250 * time.Millisecond
	// minOverlap is how long two connections with one id must be open at servers at once, as the servers see
	// it. Less may be a close that is still on its way.
	minOverlap = 100 * time.Millisecond
)

// sameIDCase replaces the process of a relay while bad clients send the ids of other clients' open requests.
func sameIDCase(h *harness) {
	d := h.newDiscovery()
	seen := &idWatch{byID: map[string][]*idUse{}}
	for i := range 3 {
		s := h.newTileServer(fmt.Sprintf("s-%d", i))
		s.onOpen = func(id string, _ time.Time) func() { return seen.opened(s.id, id) }
		d.set(s.id, s.address(), "Ready", 0)
	}
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		h.cannotRun("%v", err)
	}
	socket, err := l.File()
	if err != nil {
		h.cannotRun("%v", err)
	}
	address := l.Addr().String()
	config := h.writeFile("config.json", casaConfig("n1", address, d.address, d.list(), 1, 0))
	start := func(name, admin string) *relayProc {
		return h.startRelay(name, "", socket, "LB_CONFIG="+config, "LB_ADMIN="+admin, "TMPDIR="+h.dir)
	}
	oldAdmin, newAdmin := h.freeAddress(), h.freeAddress()
	old := start("old", oldAdmin)
	if !awaitReady(oldAdmin, 10*time.Second) {
		h.cannotRun("the first process is not ready")
	}
	var clients sync.WaitGroup
	stop := make(chan struct{})
	clients.Go(func() {
		for {
			clients.Go(func() { h.runClient(address, 12*time.Second) })
			select {
			case <-stop:
				return
			case <-time.After(250 * time.Millisecond): // about 4 a second
			}
		}
	})
	time.Sleep(5 * time.Second)
	ids := seen.open()
	if len(ids) < badClients {
		h.cannotRun("only %d connections are open", len(ids))
	}
	if h.trouble {
		next := start("new", newAdmin)
		if !awaitReady(newAdmin, upgradeReadyLimit) || next.ended() {
			h.cannotRun("the new process is not ready")
		}
		h.logf("the new process says yes")
		old.signal(syscall.SIGTERM)
		h.logf("SIGTERM to the old process")
	}
	for _, id := range ids[len(ids)-badClients:] {
		h.runBadClient(address, id)
		time.Sleep(badClientEvery)
	}
	close(stop)
	if h.trouble {
		select {
		case <-old.done:
		case <-time.After(upgradeKillAfter):
			old.kill()
		}
	}
	clients.Wait()
	seen.judge(h)
}

// runBadClient opens a connection with the id of another client's open request, and closes it 0.5 s after the
// answer.
func (h *harness) runBadClient(address, id string) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		h.logf("bad client with id %s: %v", id, err)
		return
	}
	fmt.Fprintf(c, "OPEN %s 51 c=map-stream,t=port-tanger,d=3200,g=51\r\n", id)
	c.SetReadDeadline(time.Now().Add(3 * time.Second))
	line, err := bufio.NewReader(c).ReadString('\n')
	h.logf("bad client with id %s: answer %q, error %v", id, strings.TrimSpace(line), err)
	time.AfterFunc(500*time.Millisecond, func() { c.Close() })
}

// idWatch is what the servers see of requests' ids.
type idWatch struct {
	mu   sync.Mutex
	byID map[string][]*idUse
}

// idUse is one connection with an id at a server, from the last byte of its first line to its end.
type idUse struct {
	server         string
	opened, closed time.Time // closed is zero while it is open
}

// opened records a connection. The function that it returns records the connection's end.
func (w *idWatch) opened(server, id string) (closed func()) {
	use := &idUse{server: server, opened: time.Now()}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.byID[id] = append(w.byID[id], use)
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		use.closed = time.Now()
	}
}

// open returns the ids that are open now, sorted. Those of runClient are in the order of their start.
func (w *idWatch) open() (ids []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, uses := range w.byID {
		if len(uses) == 1 && uses[0].closed.IsZero() {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

// judge checks that no id was open at servers twice at once.
func (w *idWatch) judge(h *harness) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, uses := range w.byID {
		for i, second := range uses[1:] {
			first := uses[i]
			end := first.closed
			if end.IsZero() || !second.closed.IsZero() && second.closed.Before(end) {
				end = second.closed
			}
			if end.IsZero() || end.Sub(second.opened) > minOverlap {
				h.breaks("request %s ran at %s and, begun %.1f s later, at %s: both at once for %.1f s",
					id, first.server, second.opened.Sub(first.opened).Seconds(), second.server,
					end.Sub(second.opened).Seconds())
			}
		}
	}
}
