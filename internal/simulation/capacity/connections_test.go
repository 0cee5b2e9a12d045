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
	servers            = 4
	openAtOnce         = 64
	maxConnectionBytes = 64 << 10 // bytes of heap and stacks that a connection may cost at most: a leak of a buffer would show
	echoTimeout        = 30 * time.Second
)

// client is a client with an open connection.
type client struct {
	net.Conn
	in *bufio.Reader
}

// openClients opens connections beyond those that there are, spread over the servers.
func openClients(t *testing.T, address string, all []*client, until int) []*client {
	t.Helper()
	first := len(all)
	all = append(all, make([]*client, until-first)...)
	var wait sync.WaitGroup
	room := make(chan struct{}, openAtOnce)
	for i := first; i < until; i++ {
		room <- struct{}{}
		wait.Go(func() {
			defer func() { <-room }()
			conn, err := net.Dial("tcp", address)
			if err != nil {
				t.Error(err)
				return
			}
			conn.SetDeadline(time.Now().Add(echoTimeout))
			fmt.Fprintf(conn, "OPEN c%d %x c=map-stream,t=acme,at=s%d\r\n", i, i, i%servers)
			v := &client{conn, bufio.NewReaderSize(conn, 512)}
			if line, err := v.in.ReadString('\n'); err != nil || !strings.HasPrefix(line, "UP") {
				t.Errorf("connection %d: %q, %v", i, line, err)
			}
			conn.SetDeadline(time.Time{})
			all[i] = v
		})
	}
	wait.Wait()
	if t.Failed() {
		t.FailNow()
	}
	return all
}

// closeClients ends what connect has opened.
func closeClients(all []*client) {
	for _, v := range all {
		v.Close()
	}
}

// kernelMemory is what the kernel holds in objects that it cannot give back, sockets among them, and in socket buffers.
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

// What one open connection costs a relay, in its own memory and in descriptors: by holding more and more of them.
func TestCostOfOpenConnections(t *testing.T) {
	sizes, rest := []int{50, 100, 200}, 200*time.Millisecond
	if longRun() {
		sizes, rest = []int{1000, 2000, 4000, 8000}, 10*time.Second
	}
	r := startRelay(t, startDiscovery(t, servers, servers))
	var all []*client
	defer func() { closeClients(all) }()
	var heap, stacks, resident, descriptors, kernel, buffers, idle []Point
	for _, n := range sizes {
		before, more := r.processorTime(), n-len(all)
		all = openClients(t, r.address, all, n)
		opened := (r.processorTime() - before) / time.Duration(more)
		h := r.collectHeap()
		time.Sleep(rest / 10)
		began, at := time.Now(), r.processorTime()
		time.Sleep(rest)
		core := (r.processorTime() - at).Seconds() / time.Since(began).Seconds()
		idle = append(idle, Point{float64(n), core})
		size := float64(n)
		heap = append(heap, Point{size, float64(h.Heap)})
		stacks = append(stacks, Point{size, float64(h.Stack)})
		resident = append(resident, Point{size, r.residentBytes()})
		descriptors = append(descriptors, Point{size, float64(r.descriptorCount())})
		slab, mem := kernelMemory(t)
		kernel, buffers = append(kernel, Point{size, slab}), append(buffers, Point{size, mem})
		t.Logf("%d connections: heap %d, stacks %d, resident %.0f bytes, %d goroutines, %d descriptors; %v of processor time to open one, %.4f of a core at rest",
			n, h.Heap, h.Stack, r.residentBytes(), h.Goroutines, r.descriptorCount(), opened, core)
	}
	fit := func(points []Point) Line {
		line, err := Fit(points)
		if err != nil {
			t.Fatal(err)
		}
		return line
	}
	for _, row := range []struct {
		what   string
		points []Point
	}{{"of a core at rest", idle}, {"heap", heap}, {"stacks", stacks}, {"resident", resident}, {"descriptors", descriptors},
		{"kernel's unreclaimable memory, all four ends", kernel}, {"socket buffers, all four ends", buffers}} {
		line, early := fit(row.points), fit(row.points[:2])
		last := row.points[len(row.points)-1]
		t.Logf("%s: %.4g a connection and %.4g; the first two foretell the last with an error of %+.3f", row.what, line.Slope, line.Constant, RelativeError(early.At(last.Size), last.Value))
	}
	if each := fit(descriptors).Slope; each < 1.9 || each > 2.1 {
		t.Errorf("%.2f descriptors a connection, not its own and its server's", each)
	}
	if each := fit(heap).Slope + fit(stacks).Slope; each > maxConnectionBytes {
		t.Errorf("%.0f bytes of heap and stacks a connection", each)
	}
}

// quantile is the value below which a part of all lies.
func quantile(sorted []time.Duration, part float64) time.Duration {
	return sorted[min(int(part*float64(len(sorted))), len(sorted)-1)]
}

// measureEcho has each viewer send a line once an interval, and returns how long each took to come back, and what the relay
// computed meanwhile for one line passed: two for each that comes back.
func measureEcho(t *testing.T, r *relayProcess, all []*client, interval, watch time.Duration) (took []time.Duration, lines float64, core float64) {
	t.Helper()
	var mu sync.Mutex
	var wait sync.WaitGroup
	began := time.Now()
	before := r.processorTime()
	for i, v := range all {
		wait.Go(func() {
			var mine []time.Duration
			for at := began.Add(interval * time.Duration(i) / time.Duration(len(all))); at.Before(began.Add(watch)); at = at.Add(interval) {
				time.Sleep(time.Until(at))
				sent := time.Now()
				v.SetDeadline(sent.Add(echoTimeout))
				if _, err := v.Write([]byte("M 0123456789abcdef0123456789abcdef\r\n")); err != nil {
					t.Error(err)
					return
				}
				if _, err := v.in.ReadSlice('\n'); err != nil {
					t.Error(err)
					return
				}
				mine = append(mine, time.Since(sent))
			}
			mu.Lock()
			took = append(took, mine...)
			mu.Unlock()
		})
	}
	wait.Wait()
	seconds := time.Since(began).Seconds()
	slices.Sort(took)
	return took, 2 * float64(len(took)) / seconds, (r.processorTime() - before).Seconds() / seconds
}

// What a relay computes for one line passed, and how long a line takes there and back, by lines a second.
func TestCostOfLines(t *testing.T) {
	held, watch, rates := 100, time.Second, []float64{200, 400, 800} // lines a second
	if longRun() {
		held, watch, rates = 4000, 10*time.Second, []float64{2000, 4000, 8000, 16_000, 24_000, 32_000, 48_000}
	}
	r := startRelay(t, startDiscovery(t, servers, servers))
	all := openClients(t, r.address, nil, held)
	defer closeClients(all)
	var cores []Point
	for _, rate := range rates {
		interval := time.Duration(2 * float64(held) / rate * float64(time.Second))
		took, lines, core := measureEcho(t, r, all, interval, watch)
		if t.Failed() || len(took) < held/2 {
			t.Fatalf("at %.0f lines a second %d came back", rate, len(took))
		}
		cores = append(cores, Point{lines, core})
		t.Logf("%d connections, %.0f lines a second: %.4f of a core, %.1f us a line; there and back p50 %v, p99 %v, most %v", held, lines, core, core/lines*1e6,
			quantile(took, 0.5), quantile(took, 0.99), took[len(took)-1])
	}
	const fitted = 5 // beyond these rates a relay of one core may have no time left
	last := cores[min(len(cores), fitted)-1]
	early, _ := Fit(cores[:min(len(cores), fitted)-1])
	line, err := Fit(cores[:min(len(cores), fitted)])
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%.2f us of processor time a line and %.4f of a core, fitted to the first five; without the last of them it is foretold with an error of %+.3f", line.Slope*1e6, line.Constant, RelativeError(early.At(last.Size), last.Value))
}
