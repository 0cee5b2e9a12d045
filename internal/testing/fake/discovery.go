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

// Discovery is the platform's discovery service. It serves the endpoint list as a snapshot or as a watch.
type Discovery struct {
	Address     string
	ExtraFields string // JSON members, with a leading comma, added to each endpoint set from now on

	mu         sync.Mutex
	generation int
	entries    map[string]string // endpoint as JSON, by id
	watches    []*discoveryWatch // open watches
}

// watchQueueLength bounds the events queued for one watch; a watch whose queue is full is ended.
const watchQueueLength = 64

// discoveryWatch is one open watch.
type discoveryWatch struct {
	conn   net.Conn
	events chan string
}

// notify queues an event for the watch. If the queue is full, it ends the watch, because the client would
// miss the event.
func (w *discoveryWatch) notify(event string) {
	select {
	case w.events <- event:
	default:
		w.conn.Close()
	}
}

// NewDiscovery starts a discovery service that runs until the process ends. It fails if it cannot listen on
// the address.
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

// EndpointJSON returns one entry of the endpoint list as JSON.
func EndpointJSON(id, address, lifecycle string) string {
	const form = `{"instanceId":%q,"hostPort":%q,"zone":"hall-a","lifecycle":%q,"startedAtMs":0}`
	return fmt.Sprintf(form, id, address, lifecycle)
}

// Set adds or changes an endpoint and notifies every watch.
func (d *Discovery) Set(id, address, lifecycle string) {
	d.SetWithStartTime(id, address, lifecycle, time.Time{})
}

// SetWithStartTime is Set for a server with a start time; the zero time means a start long ago.
func (d *Discovery) SetWithStartTime(id, address, lifecycle string, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
	entry := EndpointJSON(id, address, lifecycle)
	if !at.IsZero() {
		entry = strings.Replace(entry, `"startedAtMs":0`, fmt.Sprintf(`"startedAtMs":%d`, at.UnixMilli()), 1)
	}
	d.entries[id] = strings.TrimSuffix(entry, "}") + d.ExtraFields + "}"
	for _, w := range d.watches {
		w.notify(d.message(false, d.entries[id]))
	}
}

// message returns a watch event, or a snapshot if complete is set. The caller holds the lock.
func (d *Discovery) message(complete bool, entries string) string {
	return fmt.Sprintf("{\"generation\":%d,\"reset\":%v,\"instances\":[%s]}\n", d.generation, complete, entries)
}

// Snapshot returns the complete endpoint list as JSON.
func (d *Discovery) Snapshot() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.snapshot()
}

// snapshot implements Snapshot. The caller holds the lock.
func (d *Discovery) snapshot() string {
	var all []string
	for _, e := range d.entries {
		all = append(all, e)
	}
	return d.message(true, strings.Join(all, ","))
}

// addWatch opens a watch and returns the snapshot that it starts from: every later change is sent to the
// watch as an event.
func (d *Discovery) addWatch(conn net.Conn) (w *discoveryWatch, snapshot string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	w = &discoveryWatch{conn, make(chan string, watchQueueLength)}
	d.watches = append(d.watches, w)
	return w, d.snapshot()
}

func (d *Discovery) removeWatch(w *discoveryWatch) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.watches = slices.DeleteFunc(d.watches, func(o *discoveryWatch) bool { return o == w })
}

func (d *Discovery) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	first, err := in.ReadString('\n')
	for line := first; err == nil && strings.TrimSpace(line) != ""; {
		line, err = in.ReadString('\n')
	}
	if !strings.Contains(first, "watch=1") {
		snapshot := d.Snapshot()
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(snapshot), snapshot)
		return
	}
	w, snapshot := d.addWatch(c)
	defer d.removeWatch(w)
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(snapshot), snapshot)
	w.stream()
}

// stream sends the events of a watch, and an empty line as a heartbeat while nothing changes, until the
// connection fails.
func (w *discoveryWatch) stream() {
	idle := time.NewTicker(2 * time.Second)
	defer idle.Stop()
	for {
		text := "\n"
		select {
		case text = <-w.events:
		case <-idle.C:
		}
		if _, err := fmt.Fprintf(w.conn, "%x\r\n%s\r\n", len(text), text); err != nil {
			return
		}
	}
}
