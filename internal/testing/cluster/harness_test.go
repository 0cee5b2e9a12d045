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

func long() bool { return os.Getenv("CAPERSAIL_LONG") == "1" }

// patience is how long a condition is waited for before a test fails. What is promised is 5 s, and the long run
// holds the relays to that; a busy machine that runs all packages' tests at once gets more.
func patience() time.Duration {
	if long() {
		return 5 * time.Second
	}
	return 25 * time.Second
}

// lay lays a ground out and starts its first relays; at the end it checks that no shares ever added up to over one.
func lay(t *testing.T, p Plan, start int) *Cluster {
	t.Helper()
	p.Program, p.Dir = program, t.TempDir()
	g, err := New(p, "../../../examples/config.json")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		g.Close()
		all, err := g.Histories()
		if most, at := MostTaken(all); err != nil || most > 1+1e-9 && !p.Unsafe {
			t.Errorf("%v; the shares added up to %v:\n%s", err, most, Tail(all, at, 6000))
		}
		if t.Failed() {
			for _, r := range g.Relays {
				log := r.Log()
				t.Logf("%s: ... %s", r.Name, log[max(0, len(log)-3000):])
			}
		}
	})
	for i := range start {
		if err := g.Start(i); err != nil {
			t.Fatal(err)
		}
	}
	return g
}

// startAll starts all relays of a ground.
func startAll(t *testing.T, g *Cluster) {
	t.Helper()
	for i := range g.Relays {
		if err := g.Start(i); err != nil {
			t.Fatal(err)
		}
	}
}

// load has clients come to a ground's relays, so many a second and each for so long, until the test ends. It returns what they met.
func load(t *testing.T, g *Cluster, rate float64, hold time.Duration) *Tally {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	tally, done := &Tally{}, make(chan struct{})
	go func() {
		defer close(done)
		g.Load(ctx, 1, rate, hold, tally)
	}()
	t.Cleanup(func() {
		stop()
		<-done
	})
	return tally
}

// servers starts n servers that take everything, lists them, and returns them.
func servers(t *testing.T, g *Cluster, n int) (all []*Sink) {
	t.Helper()
	for i := range n {
		s, err := NewSink(fmt.Sprintf("s%d", i))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		s.SetReport("x0=0.1")
		g.Discovery.Set(s.ID, s.Address, "Ready")
		all = append(all, s)
	}
	return all
}

// before puts a proxy between a relay that has not started yet and discovery.
func before(t *testing.T, g *Cluster, i int) *Proxy {
	t.Helper()
	p, err := NewProxy(g.Discovery.Address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	if err := g.Reconfigure(i, map[string]any{"discovery": p.Address}); err != nil {
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

func (g *Cluster) agreed() error { return g.Agree(false) }

func (g *Cluster) settled() error { return g.Agree(true) }

// without tells whether no relay that runs has one in its view.
func (g *Cluster) without(gone int) error {
	last, err := g.Last()
	if err != nil {
		return err
	}
	for i, r := range g.Relays {
		for _, name := range last[r.Name].Members {
			if i != gone && r.up && name == g.Relays[gone].Name {
				return fmt.Errorf("%s still has %s in epoch %d", r.Name, name, last[r.Name].Epoch)
			}
		}
	}
	return nil
}
