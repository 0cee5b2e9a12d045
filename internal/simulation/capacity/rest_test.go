package capacity

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

const (
	maxScrapeBytes  = 64 << 10 // bytes of a scrape
	maxRestLogBytes = 4096     // bytes of log while nothing happens
)

// scrape asks for the figures once, and returns how long they are.
func scrape(t *testing.T, admin string) (bytes int) {
	t.Helper()
	answer, err := http.Get("http://" + admin + "/ops/stats")
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil || answer.StatusCode != http.StatusOK {
		t.Fatal(answer.Status, err)
	}
	return len(text)
}

// membersFlag returns the flag that has a relay find others, of which there are none.
func membersFlag(t *testing.T) []string {
	t.Helper()
	l, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.LocalAddr().String()
	l.Close()
	dir := t.TempDir()
	path := filepath.Join(dir, "members.toml")
	text := fmt.Sprintf("site = \"s\"\nbind = %q\nseeds = [%q]\nstate = %q\n",
		address, address, filepath.Join(dir, "state"))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return []string{"--members", path}
}

// reload has the relay reload its configuration so many times, and returns what one costs it.
func (r *relayProcess) reload(times int) (processor time.Duration) {
	r.t.Helper()
	before := r.processorTime()
	for range times {
		_, lines := r.log.count()
		if err := syscall.Kill(r.pid, syscall.SIGHUP); err != nil {
			r.t.Fatal(err)
		}
		r.awaitLines(lines)
	}
	return (r.processorTime() - before) / time.Duration(times)
}

// awaitLines waits until the log has more than so many lines.
func (r *relayProcess) awaitLines(lines int) {
	r.t.Helper()
	for until := time.Now().Add(waitTimeout); time.Now().Before(until); time.Sleep(time.Millisecond) {
		if _, now := r.log.count(); now > lines {
			return
		}
	}
	r.t.Fatal("the configuration is not reloaded")
}

// restSetup is a relay that nothing happens to.
type restSetup struct {
	servers int // that are listed
	members bool
}

// Measures what a relay costs at rest by the servers that are listed: processor time, log, memory; one scrape
// of its figures; one reload. It holds the log and the figures to what they may be.
func TestRelayAtRest(t *testing.T) {
	setups, watch, times := []restSetup{{10, false}, {100, false}, {10, true}}, 500*time.Millisecond, 20
	if isLongRun() {
		setups = []restSetup{
			{10, false}, {90, false}, {330, false}, {1000, false}, {5000, false}, {10, true}, {330, true},
		}
		watch, times = 10*time.Second, 200
	}
	for _, setup := range setups {
		var flags []string
		if setup.members {
			flags = membersFlag(t)
		}
		r := startRelay(t, startDiscovery(t, setup.servers, min(setup.servers, serverCount)), flags...)
		time.Sleep(watch / 10) // until the start is over
		t.Logf("%d servers listed, members %v:", setup.servers, setup.members)
		r.checkRest(watch)
		r.checkScrapes(times)
		t.Logf("a reload: %v of processor time", r.reload(times))
	}
}

// checkRest measures the relay for a time, and checks how much it logs.
func (r *relayProcess) checkRest(watch time.Duration) {
	r.t.Helper()
	startedAt, cpu := time.Now(), r.processorTime()
	before, _ := r.log.count()
	time.Sleep(watch)
	after, lines := r.log.count()
	core := (r.processorTime() - cpu).Seconds() / time.Since(startedAt).Seconds()
	r.t.Logf("%.5f of a core at rest, %d bytes of log in %v after %d at the start (%d lines in all), "+
		"heap %d, resident %.0f",
		core, after-before, watch, before, lines, r.collectHeap().Heap, r.residentBytes())
	if after-before > maxRestLogBytes {
		r.t.Errorf("%d bytes of log at rest", after-before)
	}
}

// checkScrapes measures scrapes, and checks how long the figures are.
func (r *relayProcess) checkScrapes(times int) {
	r.t.Helper()
	before := r.processorTime()
	bytes := 0
	for range times {
		bytes = scrape(r.t, r.admin)
	}
	each := (r.processorTime() - before).Seconds() * 1000 / float64(times)
	r.t.Logf("a scrape: %d bytes, %.2f ms of processor time", bytes, each)
	if bytes > maxScrapeBytes {
		r.t.Errorf("%d bytes of figures", bytes)
	}
}
