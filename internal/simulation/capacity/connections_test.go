package capacity

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// maxConnectionBytes is the limit on heap and stacks of a connection; it is low enough to show a leaked
	// buffer.
	maxConnectionBytes = 64 << 10

	serverCount        = 4
	maxConcurrentOpens = 64
	echoTimeout        = 30 * time.Second
)

// client is a test client with an open connection.
type client struct {
	net.Conn
	in *bufio.Reader
}

// openClients opens more connections, spread over the servers, until there are as many as until says.
func openClients(t *testing.T, address string, clients []*client, until int) []*client {
	t.Helper()
	first := len(clients)
	clients = append(clients, make([]*client, until-first)...)
	var opening sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentOpens)
	for i := first; i < until; i++ {
		slots <- struct{}{}
		opening.Go(func() {
			defer func() { <-slots }()
			c, err := openClient(address, i)
			if err != nil {
				t.Errorf("open connection %d: %v", i, err)
			}
			clients[i] = c
		})
	}
	opening.Wait()
	if t.Failed() {
		t.FailNow()
	}
	return clients
}

func openClient(address string, i int) (*client, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	conn.SetDeadline(time.Now().Add(echoTimeout))
	fmt.Fprintf(conn, "OPEN c%d %x c=map-stream,t=acme,at=s%d\r\n", i, i, i%serverCount)
	c := &client{conn, bufio.NewReaderSize(conn, 512)}
	line, err := c.in.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "UP") {
		return c, fmt.Errorf("relay answered %q, want UP; read error %v", line, err)
	}
	conn.SetDeadline(time.Time{})
	return c, nil
}

// closeClients closes the connections that openClients has opened.
func closeClients(clients []*client) {
	for _, c := range clients {
		c.Close()
	}
}

// kernelMemory returns the kernel's unreclaimable slab memory, which includes sockets, and the memory of TCP
// socket buffers, in bytes.
func kernelMemory(t *testing.T) (unreclaimable, buffers float64) {
	t.Helper()
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		t.Skip(err)
	}
	_, rest, _ := strings.Cut(string(text), "SUnreclaim:")
	fmt.Sscan(rest, &unreclaimable)
	text, _ = os.ReadFile("/proc/net/sockstat")
	_, rest, _ = strings.Cut(string(text), "TCP:")
	_, rest, _ = strings.Cut(rest, " mem ")
	fmt.Sscan(rest, &buffers)
	return unreclaimable * 1024, buffers * float64(os.Getpagesize())
}

// connectionCosts are the measurements of a relay at growing numbers of open connections.
type connectionCosts struct {
	idle          []Point // fraction of a core at rest
	heap          []Point
	stacks        []Point
	resident      []Point
	descriptors   []Point
	kernelMemory  []Point // of all four ends of the sockets, which are on this machine
	socketBuffers []Point // of all four ends
}

// measure adds the measurements of a relay with a number of connections, while the relay is at rest.
func (c *connectionCosts) measure(t *testing.T, r *relayProcess, connections int, rest time.Duration) {
	t.Helper()
	h := r.collectHeap()
	time.Sleep(rest / 10)
	startedAt, before := time.Now(), r.processorTime()
	time.Sleep(rest)
	core := (r.processorTime() - before).Seconds() / time.Since(startedAt).Seconds()
	unreclaimable, buffers := kernelMemory(t)
	add := func(points *[]Point, value float64) {
		*points = append(*points, Point{float64(connections), value})
	}
	add(&c.idle, core)
	add(&c.heap, float64(h.Heap))
	add(&c.stacks, float64(h.Stack))
	add(&c.resident, r.residentBytes())
	add(&c.descriptors, float64(r.descriptorCount()))
	add(&c.kernelMemory, unreclaimable)
	add(&c.socketBuffers, buffers)
	t.Logf("%d connections: heap %d, stacks %d, resident %.0f bytes, %d goroutines, %d descriptors; "+
		"%.4f of a core at rest",
		connections, h.Heap, h.Stack, r.residentBytes(), h.Goroutines, r.descriptorCount(), core)
}

// log prints the fitted line of each measurement, and the error with which its first two points predict the
// last.
func (c *connectionCosts) log(t *testing.T) {
	t.Helper()
	for _, row := range []struct {
		what   string
		points []Point
	}{
		{"of a core at rest", c.idle},
		{"heap", c.heap},
		{"stacks", c.stacks},
		{"resident", c.resident},
		{"descriptors", c.descriptors},
		{"kernel's unreclaimable memory, all four ends", c.kernelMemory},
		{"socket buffers, all four ends", c.socketBuffers},
	} {
		line, early := mustFit(t, row.points), mustFit(t, row.points[:2])
		last := row.points[len(row.points)-1]
		t.Logf("%s: %.4g a connection and %.4g; the first two predict the last with an error of %+.3f",
			row.what, line.Slope, line.Constant, RelativeError(early.At(last.Size), last.Value))
	}
}

func mustFit(t *testing.T, points []Point) Line {
	t.Helper()
	line, err := Fit(points)
	if err != nil {
		t.Fatal(err)
	}
	return line
}

// Measures the memory and descriptors that an open connection costs a relay, at growing numbers of
// connections, and checks both against their limits.
func TestCostOfOpenConnections(t *testing.T) {
	sizes, rest := []int{50, 100, 200}, 200*time.Millisecond
	if isLongRun() {
		sizes, rest = []int{1000, 2000, 4000, 8000}, 10*time.Second
	}
	r := startRelay(t, startDiscovery(t, serverCount, serverCount))
	var clients []*client
	defer func() { closeClients(clients) }()
	var costs connectionCosts
	for _, n := range sizes {
		more := n - len(clients)
		before := r.processorTime()
		clients = openClients(t, r.address, clients, n)
		t.Logf("%v of processor time to open one", (r.processorTime()-before)/time.Duration(more))
		costs.measure(t, r, n, rest)
	}
	costs.log(t)
	if each := mustFit(t, costs.descriptors).Slope; each < 1.9 || each > 2.1 {
		t.Errorf("%.2f descriptors a connection, want 2: the client's socket and the server's", each)
	}
	if each := mustFit(t, costs.heap).Slope + mustFit(t, costs.stacks).Slope; each > maxConnectionBytes {
		t.Errorf("%.0f bytes of heap and stacks a connection, want 64 KiB at most", each)
	}
}

// quantile returns the value below which the given fraction of the sorted values lies.
func quantile(sorted []time.Duration, part float64) time.Duration {
	return sorted[min(int(part*float64(len(sorted))), len(sorted)-1)]
}

// measureEcho has each client send a line once an interval. It returns the round-trip times, the lines that
// the relay passed in a second (two for each round trip), and the fraction of a core that the relay used.
func measureEcho(
	t *testing.T, r *relayProcess, clients []*client, interval, watch time.Duration,
) (took []time.Duration, lines, core float64) {
	t.Helper()
	var mu sync.Mutex
	var echoing sync.WaitGroup
	startedAt := time.Now()
	end := startedAt.Add(watch)
	before := r.processorTime()
	for i, c := range clients {
		echoing.Go(func() {
			offset := interval * time.Duration(i) / time.Duration(len(clients))
			own, err := c.echo(startedAt.Add(offset), end, interval)
			if err != nil {
				t.Error(err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			took = append(took, own...)
		})
	}
	echoing.Wait()
	seconds := time.Since(startedAt).Seconds()
	slices.Sort(took)
	return took, 2 * float64(len(took)) / seconds, (r.processorTime() - before).Seconds() / seconds
}

// echo sends a line each interval until the end, and returns the round-trip times.
func (c *client) echo(from, end time.Time, interval time.Duration) (took []time.Duration, err error) {
	for at := from; at.Before(end); at = at.Add(interval) {
		time.Sleep(time.Until(at))
		sentAt := time.Now()
		c.SetDeadline(sentAt.Add(echoTimeout))
		if _, err := c.Write([]byte("M 0123456789abcdef0123456789abcdef\r\n")); err != nil {
			return nil, err
		}
		if _, err := c.in.ReadSlice('\n'); err != nil {
			return nil, err
		}
		took = append(took, time.Since(sentAt))
	}
	return took, nil
}

// Measures the CPU time that a relay takes for one line, and the round-trip time of a line, at growing rates
// of lines.
func TestCostOfLines(t *testing.T) {
	connections, watch, rates := 100, time.Second, []float64{200, 400, 800} // lines a second
	if isLongRun() {
		connections, watch = 4000, 10*time.Second
		rates = []float64{2000, 4000, 8000, 16_000, 24_000, 32_000, 48_000}
	}
	r := startRelay(t, startDiscovery(t, serverCount, serverCount))
	clients := openClients(t, r.address, nil, connections)
	defer closeClients(clients)
	var cores []Point
	for _, rate := range rates {
		interval := time.Duration(2 * float64(connections) / rate * float64(time.Second))
		took, lines, core := measureEcho(t, r, clients, interval, watch)
		if t.Failed() || len(took) < connections/2 {
			t.Fatalf("at %.0f lines a second only %d lines came back, want half the connections at least",
				rate, len(took))
		}
		cores = append(cores, Point{lines, core})
		t.Logf("%d connections, %.0f lines a second: %.4f of a core, %.1f us a line; "+
			"there and back p50 %v, p99 %v, most %v",
			connections, lines, core, core/lines*1e6, quantile(took, 0.5), quantile(took, 0.99), took[len(took)-1])
	}
	const fitted = 5 // at the higher rates a relay of one core may be saturated
	cores = cores[:min(len(cores), fitted)]
	last := cores[len(cores)-1]
	early, _ := Fit(cores[:len(cores)-1])
	line := mustFit(t, cores)
	t.Logf("%.2f us of processor time a line and %.4f of a core, fitted to the first five; "+
		"without the last of them it is predicted with an error of %+.3f",
		line.Slope*1e6, line.Constant, RelativeError(early.At(last.Size), last.Value))
}
