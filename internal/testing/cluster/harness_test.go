package cluster

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"
)

// program is the program with its seams, built once.
var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "proving")
	if err == nil {
		program, err = Build("../../..", dir)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

func longRun() bool { return os.Getenv("CAPERSAIL_LONG") == "1" }

// waitLimit is how long a condition is waited for before a test fails. What is promised is 5 s, and the long run
// holds the relays to that; a busy machine that runs all packages' tests at once gets more.
func waitLimit() time.Duration {
	if longRun() {
		return 5 * time.Second
	}
	return 25 * time.Second
}

// newCluster lays a ground out and starts its first relays; at the end it checks that no shares ever added up to over one.
func newCluster(t *testing.T, p Layout, start int) *Cluster {
	t.Helper()
	p.Program, p.Dir = program, t.TempDir()
	fleet, err := New(p, "../../../examples/config.json")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		fleet.Close()
		all, err := fleet.History()
		if most, at := PeakShareSum(all); err != nil || most > 1+1e-9 && !p.Unprotected {
			t.Errorf("%v; the shares added up to %v:\n%s", err, most, FormatHistory(all, at, 6000))
		}
		if t.Failed() {
			for _, r := range fleet.Relays {
				log := r.Log()
				t.Logf("%s: ... %s", r.Name, log[max(0, len(log)-3000):])
			}
		}
	})
	for i := range start {
		if err := fleet.Start(i); err != nil {
			t.Fatal(err)
		}
	}
	return fleet
}

// startAll starts all relays of a ground.
func startAll(t *testing.T, fleet *Cluster) {
	t.Helper()
	for i := range fleet.Relays {
		if err := fleet.Start(i); err != nil {
			t.Fatal(err)
		}
	}
}

// startLoad has clients come to a ground's relays, so many a second and each for so long, until the test ends. It returns what they met.
func startLoad(t *testing.T, fleet *Cluster, rate float64, hold time.Duration) *LoadTally {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	tally, done := &LoadTally{}, make(chan struct{})
	go func() {
		defer close(done)
		fleet.Load(ctx, 1, rate, hold, tally)
	}()
	t.Cleanup(func() {
		stop()
		<-done
	})
	return tally
}

// addServers starts n addServers that take everything, lists them, and returns them.
func addServers(t *testing.T, fleet *Cluster, n int) (all []*RecordingServer) {
	t.Helper()
	for i := range n {
		s, err := NewRecordingServer(fmt.Sprintf("s%d", i))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		s.SetReport("x0=0.1")
		fleet.Discovery.Set(s.ID, s.Address, "Ready")
		all = append(all, s)
	}
	return all
}

// proxyDiscovery puts a proxy between a relay that has not started yet and discovery.
func proxyDiscovery(t *testing.T, fleet *Cluster, i int) *Proxy {
	t.Helper()
	p, err := NewProxy(fleet.Discovery.Address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	if err := fleet.Reconfigure(i, map[string]any{"discovery": p.Address}); err != nil {
		t.Fatal(err)
	}
	return p
}

// await fails the test if a condition does not come to hold, and returns how long it took.
func await(t *testing.T, within time.Duration, what string, check func() error) time.Duration {
	t.Helper()
	took, err := Await(within, check)
	if err != nil {
		t.Fatalf("%s: %v", what, err)
	}
	return took
}

func (fleet *Cluster) checkAgreed() error { return fleet.CheckAgreement(false) }

func (fleet *Cluster) checkSettled() error { return fleet.CheckAgreement(true) }

// checkRemoved tells whether no relay that runs has one in its view.
func (fleet *Cluster) checkRemoved(gone int) error {
	last, err := fleet.Latest()
	if err != nil {
		return err
	}
	for i, r := range fleet.Relays {
		for _, name := range last[r.Name].Members {
			if i != gone && r.running && name == fleet.Relays[gone].Name {
				return fmt.Errorf("%s still has %s in epoch %d", r.Name, name, last[r.Name].Epoch)
			}
		}
	}
	return nil
}
