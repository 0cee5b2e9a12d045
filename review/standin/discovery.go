package main

import (
	"bufio"
	"fmt"
	"net"
	"sort"
	"strings"
	"sync"
	"time"
)

// discoveryList is the list of tile servers, which any number of discovery addresses serve.
type discoveryList struct {
	mu         sync.Mutex
	generation int
	entries    map[string]string    // JSON by id
	changedAt  map[string]int       // generation of the last change, by id
	watches    map[chan string]bool // open watches
}

func newDiscoveryList() *discoveryList {
	return &discoveryList{
		generation: 40, entries: map[string]string{}, changedAt: map[string]int{}, watches: map[chan string]bool{},
	}
}

// set adds or changes an entry and tells all open watches.
func (l *discoveryList) set(id, address, zone, lifecycle string, startedAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	started := int64(0)
	if !startedAt.IsZero() {
		started = startedAt.UnixMilli()
	}
	l.generation++
	l.entries[id] = fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"zone":%q,"machineType":"std-2c","cell":0,`+
		`"lifecycle":%q,"weight":1.0,"startedAtMs":%d}`, id, address, zone, lifecycle, started)
	l.changedAt[id] = l.generation
	for w := range l.watches {
		select {
		case w <- l.message(false, []string{l.entries[id]}):
		default:
		}
	}
}

// message returns a list as one line. The caller holds the lock.
func (l *discoveryList) message(whole bool, entries []string) string {
	return fmt.Sprintf("{\"generation\":%d,\"reset\":%v,\"instances\":[%s]}\n", l.generation, whole,
		strings.Join(entries, ","))
}

// since returns the entries that changed after a generation. The caller holds the lock.
func (l *discoveryList) since(generation int) []string {
	var ids []string
	for id, at := range l.changedAt {
		if at > generation {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	var entries []string
	for _, id := range ids {
		entries = append(entries, l.entries[id])
	}
	return entries
}

// whole returns the whole list.
func (l *discoveryList) whole() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.message(true, l.since(0))
}

// discoveryAddress is one address of discovery.
type discoveryAddress struct {
	address string
	list    *discoveryList
	r       *record
	name    string

	mu       sync.Mutex
	listener net.Listener
	crowd    time.Duration // how long discovery needs for the calls that come with the first one
	freeAt   time.Time     // when it is through with them
	open     map[net.Conn]bool
	beatAt   time.Time // when the last empty line or change was written to a watch
}

// callTimeout is how long a call may wait before discovery ends it with 503.
const callTimeout = time.Second

func startDiscovery(r *record, name string, list *discoveryList, crowd time.Duration) (*discoveryAddress, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discoveryAddress{
		address: l.Addr().String(), list: list, r: r, name: name, listener: l, crowd: crowd, open: map[net.Conn]bool{},
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			d.mu.Lock()
			d.open[c] = true
			d.mu.Unlock()
			go d.serve(c)
		}
	}()
	return d, nil
}

// retire takes no new connection and closes the open ones 1.5 s later.
func (d *discoveryAddress) retire() {
	d.listener.Close()
	time.AfterFunc(1500*time.Millisecond, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		for c := range d.open {
			c.Close()
		}
	})
}

// awaitTurn waits until it is a call's turn. It returns false if the call has waited too long.
func (d *discoveryAddress) awaitTurn() bool {
	d.mu.Lock()
	if d.freeAt.IsZero() {
		d.freeAt = time.Now().Add(d.crowd)
	}
	wait := time.Until(d.freeAt)
	d.mu.Unlock()
	time.Sleep(min(wait, callTimeout))
	return wait <= callTimeout
}

func (d *discoveryAddress) lastBeat() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.beatAt
}

func (d *discoveryAddress) serve(c net.Conn) {
	defer func() {
		c.Close()
		d.mu.Lock()
		delete(d.open, c)
		d.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	first, err := in.ReadString('\n')
	for line := first; err == nil && strings.TrimSpace(line) != ""; {
		line, err = in.ReadString('\n')
	}
	if err != nil {
		return
	}
	d.r.add("%s: call %s", d.name, strings.TrimSpace(first))
	if !d.awaitTurn() {
		d.r.add("%s: 503", d.name)
		fmt.Fprint(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		return
	}
	if !strings.Contains(first, "watch=1") {
		list := d.list.whole()
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
		return
	}
	after := 0
	if _, text, ok := strings.Cut(first, "after="); ok {
		fmt.Sscanf(text, "%d", &after)
	}
	events := make(chan string, 256)
	d.list.mu.Lock()
	begin := d.list.message(false, d.list.since(after))
	d.list.watches[events] = true
	d.list.mu.Unlock()
	defer func() {
		d.list.mu.Lock()
		delete(d.list.watches, events)
		d.list.mu.Unlock()
	}()
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(begin), begin); err != nil {
		return
	}
	for {
		text := "\n"
		select {
		case text = <-events:
		case <-time.After(2 * time.Second):
		}
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text); err != nil {
			return
		}
		d.mu.Lock()
		d.beatAt = time.Now()
		d.mu.Unlock()
	}
}
