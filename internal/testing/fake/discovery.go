package fake

import (
	"bufio"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"time"
)

// Discovery is the platform's list of servers.
type Discovery struct {
	Address     string
	ExtraFields string // more fields of each entry, as JSON with a comma before it

	mu         sync.Mutex
	generation int
	entries    map[string]string // an entry's JSON by its id
	watches    []chan string
}

// NewDiscovery starts discovery on loopback.
func NewDiscovery(address string) (*Discovery, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	d := &Discovery{Address: l.Addr().String(), generation: 1, entries: map[string]string{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go d.serve(c)
		}
	}()
	return d, nil
}

// Entry is one line of the list.
func Entry(id, address, lifecycle string) string {
	const form = `{"instanceId":%q,"hostPort":%q,"zone":"hall-a","lifecycle":%q,"startedAtMs":0}`
	return fmt.Sprintf(form, id, address, lifecycle)
}

// Set changes one entry and tells every watch.
func (d *Discovery) Set(id, address, lifecycle string) {
	d.SetStarted(id, address, lifecycle, time.Time{})
}

// SetStarted is Set for a server that has started at a time; the zero one is long ago.
func (d *Discovery) SetStarted(id, address, lifecycle string, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
	entry := Entry(id, address, lifecycle)
	if !at.IsZero() {
		entry = strings.Replace(entry, `"startedAtMs":0`, fmt.Sprintf(`"startedAtMs":%d`, at.UnixMilli()), 1)
	}
	d.entries[id] = strings.TrimSuffix(entry, "}") + d.ExtraFields + "}"
	for _, w := range d.watches {
		w <- d.message(false, d.entries[id])
	}
}

func (d *Discovery) message(whole bool, entries string) string {
	return fmt.Sprintf("{\"generation\":%d,\"reset\":%v,\"instances\":[%s]}\n", d.generation, whole, entries)
}

// Snapshot is the whole list.
func (d *Discovery) Snapshot() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var all []string
	for _, e := range d.entries {
		all = append(all, e)
	}
	return d.message(true, strings.Join(all, ","))
}

func (d *Discovery) removeWatch(w chan string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.watches = slices.DeleteFunc(d.watches, func(c chan string) bool { return c == w })
}

func (d *Discovery) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	first, err := in.ReadString('\n')
	for line := first; err == nil && strings.TrimSpace(line) != ""; {
		line, err = in.ReadString('\n')
	}
	whole := d.Snapshot()
	if !strings.Contains(first, "watch=1") {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(whole), whole)
		return
	}
	changes := make(chan string, 64)
	d.mu.Lock()
	d.watches = append(d.watches, changes)
	d.mu.Unlock()
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(whole), whole)
	d.stream(c, changes)
}

// stream sends a watch each change, and an empty line while nothing changes, until its connection fails.
func (d *Discovery) stream(c net.Conn, changes chan string) {
	defer d.removeWatch(changes)
	idle := time.NewTicker(2 * time.Second)
	defer idle.Stop()
	for {
		text := "\n"
		select {
		case text = <-changes:
		case <-idle.C:
		}
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text); err != nil {
			return
		}
	}
}
