package cluster

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"
)

// programPath is the path of the program with its fault injection points, built once.
var programPath string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "cluster")
	if err == nil {
		programPath, err = Build("../../..", dir)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// longRun reports whether the environment asks for the run that goes by the program's own pace and promises.
func longRun() bool { return os.Getenv("CAPERSAIL_LONG") == "1" }

// waitLimit is how long a condition is waited for before a test fails. What is promised is 5 s, and the long
// run holds the relays to that; a busy machine that runs all packages' tests at once gets more.
func waitLimit() time.Duration {
	if longRun() {
		return 5 * time.Second
	}
	return 25 * time.Second
}

// newCluster lays a cluster out and starts its first relays. When the test ends it checks that the shares
// never added up to over 1, unless the layout is unprotected.
func newCluster(t *testing.T, layout Layout, start int) *Cluster {
	t.Helper()
	layout.Program = programPath
	layout.Dir = t.TempDir()
	fleet, err := New(layout, "../../../examples/config.json")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		fleet.Close()
		all, err := fleet.History()
		if err != nil {
			t.Error(err)
		}
		if peak, at := PeakShareSum(all); peak > 1+1e-9 && !layout.AllowShareOverrun {
			t.Errorf("the shares added up to %v:\n%s", peak, FormatHistory(all, at, 6*time.Second))
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

// startAll starts all relays that do not run.
func startAll(t *testing.T, fleet *Cluster) {
	t.Helper()
	for i := range fleet.Relays {
		if err := fleet.Start(i); err != nil {
			t.Fatal(err)
		}
	}
}

// startLoad runs a Load until the test ends, and returns its tally.
func startLoad(t *testing.T, fleet *Cluster, rate float64, hold time.Duration) *LoadStats {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	tally := &LoadStats{}
	done := make(chan struct{})
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

// newServer starts a server with a load report, which discovery does not have yet.
func newServer(t *testing.T, id, report string) *RecordingServer {
	t.Helper()
	s, err := NewRecordingServer(id)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	s.SetReport(report)
	return s
}

// addServers starts n servers, s0 and so on, with a load report, and adds them to discovery.
func addServers(t *testing.T, fleet *Cluster, n int, report string) (all []*RecordingServer) {
	t.Helper()
	for i := range n {
		s := newServer(t, fmt.Sprintf("s%d", i), report)
		fleet.Discovery.Set(s.ID, s.Address, "Ready")
		all = append(all, s)
	}
	return all
}

// checkServerUsed fails unless at least so many connections came to a server in the last second.
func checkServerUsed(s *RecordingServer, atLeast int) error {
	now := Now()
	if n := len(s.ConnectedAt(now-time.Second, now)); n < atLeast {
		return fmt.Errorf("%d connections came to %s in the last second", n, s.ID)
	}
	return nil
}

// proxyDiscovery puts a proxy between a relay and discovery, for the relay's next start or reload.
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

// await fails the test if a condition does not come to hold in time, and returns how long it took.
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

// checkRemoved fails while a relay that runs has another, which is gone, in its view.
func (fleet *Cluster) checkRemoved(gone int) error {
	latest, err := fleet.Latest()
	if err != nil {
		return err
	}
	for i, r := range fleet.Relays {
		for _, name := range latest[r.Name].Members {
			if i != gone && r.running && name == fleet.Relays[gone].Name {
				return fmt.Errorf("%s still has %s in epoch %d", r.Name, name, latest[r.Name].Epoch)
			}
		}
	}
	return nil
}
