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
	maxScrapeBytes  = 64 << 10 // limit on the bytes of a scrape of the metrics
	maxRestLogBytes = 4096     // limit on the bytes of log while the relay is at rest
)

// scrape requests the metrics once, and returns their length.
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

// membersFlag returns the flag that starts membership on a relay whose only seed is itself.
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

// reload has the relay reload its configuration several times, and returns the mean CPU time of one reload.
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

// awaitLines waits until the log has more than the given number of lines.
func (r *relayProcess) awaitLines(lines int) {
	r.t.Helper()
	for until := time.Now().Add(waitTimeout); time.Now().Before(until); time.Sleep(time.Millisecond) {
		if _, now := r.log.count(); now > lines {
			return
		}
	}
	r.t.Fatal("the relay logged no reload of its configuration within 60 s")
}

// restSetup is the setup of a relay that is measured at rest.
type restSetup struct {
	servers int // listed servers
	members bool
}

// Measures the costs of a relay at rest by the number of listed servers: CPU time, log, memory, one scrape of
// its metrics and one reload. The lengths of log and metrics are checked against limits.
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
		time.Sleep(watch / 10) // lets the start finish
		t.Logf("%d servers listed, members %v:", setup.servers, setup.members)
		r.checkRest(watch)
		r.checkScrapes(times)
		t.Logf("a reload: %v of processor time", r.reload(times))
	}
}

// checkRest measures the relay at rest, and checks the length of its log.
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
		r.t.Errorf("%d bytes of log at rest, want 4096 at most", after-before)
	}
}

// checkScrapes measures scrapes of the metrics, and checks their length.
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
		r.t.Errorf("a scrape has %d bytes, want 64 KiB at most", bytes)
	}
}
