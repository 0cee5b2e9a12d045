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

// scrape asks for the figures once.
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

// membersFlag is the flag that lets a relay know others, of which there are none.
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
	text := fmt.Sprintf("site = \"s\"\nbind = %q\nseeds = [%q]\nstate = %q\n", address, address, filepath.Join(dir, "state"))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return []string{"--members", path}
}

// reload has the relay read its configuration again so many times, and returns what one costs it.
func (r *relayProcess) reload(times int) (processor time.Duration) {
	r.t.Helper()
	before := r.processorTime()
	for range times {
		_, lines := r.log.count()
		if err := syscall.Kill(r.pid, syscall.SIGHUP); err != nil {
			r.t.Fatal(err)
		}
		for until := time.Now().Add(waitLimit); ; time.Sleep(time.Millisecond) {
			if _, now := r.log.count(); now > lines {
				break
			}
			if time.Now().After(until) {
				r.t.Fatal("the configuration is not read again")
			}
		}
	}
	return (r.processorTime() - before) / time.Duration(times)
}

// What a relay costs at rest by the servers that are listed: processor time, log, memory; one scrape of its figures; one
// change of its configuration.
func TestRelayAtRest(t *testing.T) {
	type setup struct {
		servers int
		members bool
	}
	sizes, watch, times := []setup{{10, false}, {100, false}, {10, true}}, 500*time.Millisecond, 20
	if longRun() {
		sizes, watch, times = []setup{{10, false}, {90, false}, {330, false}, {1000, false}, {5000, false}, {10, true}, {330, true}}, 10*time.Second, 200
	}
	for _, s := range sizes {
		var flags []string
		if s.members {
			flags = membersFlag(t)
		}
		r := startRelay(t, startDiscovery(t, s.servers, min(s.servers, servers)), flags...)
		time.Sleep(watch / 10) // until the start is over
		began, at := time.Now(), r.processorTime()
		logged, _ := r.log.count()
		time.Sleep(watch)
		more, lines := r.log.count()
		core := (r.processorTime() - at).Seconds() / time.Since(began).Seconds()
		h, resident := r.collectHeap(), r.residentBytes()
		at = r.processorTime()
		bytes := 0
		for range times {
			bytes = scrape(t, r.admin)
		}
		each := (r.processorTime() - at).Seconds() * 1000 / float64(times)
		t.Logf("%d servers listed, members %v: %.5f of a core at rest, %d bytes of log in %v after %d at the start (%d lines in all), heap %d, resident %.0f; a scrape: %d bytes, %.2f ms of processor time; a reload: %v",
			s.servers, s.members, core, more-logged, watch, logged, lines, h.Heap, resident, bytes, each, r.reload(times))
		if bytes > maxScrapeBytes {
			t.Errorf("%d bytes of figures", bytes)
		}
		if more-logged > maxRestLogBytes {
			t.Errorf("%d bytes of log at rest", more-logged)
		}
	}
}
