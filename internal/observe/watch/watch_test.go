package watch

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"capersail/decide"
	"capersail/internal/observe/anomaly"
	"capersail/internal/observe/report"
	"capersail/internal/observe/timeline"
	"capersail/internal/relay"
	"capersail/internal/store"
	"capersail/internal/testing/fake"
	"capersail/internal/wire/connlimit"
	"capersail/internal/wire/platform"
)

// noDiscovery is a discovery client that does nothing: the test updates the endpoint list itself.
type noDiscovery struct{}

func (noDiscovery) Watch() {}
func (noDiscovery) Fetch() {}

// deploymentUnderTest is a relay in the test process, with servers and clients on the loopback interface.
type deploymentUnderTest struct {
	t              testing.TB
	requests       *relay.RequestTable
	watcher        *Watcher
	servers        []*fake.ScanServer
	endpointStates []decide.EndpointState
	startedAt      []float64
	relayAddress   string
}

func newDeployment(t testing.TB, servers int, s *store.Store) *deploymentUnderTest {
	t.Helper()
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	feed, ledger := fake.NewFeed(1000, 50*time.Millisecond, stop), fake.NewStreamTracker()
	clock := relay.NewClock()
	deployment := &relay.Deployment{
		Classes:   map[string]decide.Class{"m": 0},
		LoadField: "x0",
		Settings: decide.Settings{
			Relays:         1,
			Zones:          1,
			MaxAttempts:    4,
			Probes:         true,
			RetryAfter:     true,
			MaxRetryAfter:  relay.DurationFromMillis(200),
			Tick:           relay.DurationFromMillis(5),
			ConnectTimeout: relay.DurationFromMillis(300),
			Rules: decide.Rules{
				SlowStartWindow:   relay.DurationFromMillis(3000),
				SlowStartCapacity: 0.36,
				OverloadFactor:    4,
				OverloadWindow:    relay.DurationFromMillis(1500),
			},
			Classes: []decide.ClassInfo{{
				LatencyObjective: relay.DurationFromMillis(800),
				Deadline:         relay.DurationFromMillis(3000),
			}},
		},
	}
	x := relay.NewRequestTable(deployment, clock, &platform.ServerDialer{
		Clock:             clock,
		ConnectTimeout:    300 * time.Millisecond,
		LoadField:         "x0",
		MaxIdleProbeConns: 64,
	})
	config := Config{RelayName: "n", RecordBuffer: 8192, Limits: timeline.DefaultLimits(), MaxServers: 100,
		Store: s}
	w := &deploymentUnderTest{t: t, requests: x, watcher: New(config, x, clock, zerolog.Nop())}
	x.Recorder = w.watcher.Recorder
	for i := range servers {
		s, err := fake.NewScanServer(fmt.Sprint("s", i), "127.0.0.1:0", feed, ledger)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { s.Kill() })
		s.Capacity = 40
		w.servers = append(w.servers, s)
		w.endpointStates, w.startedAt = append(w.endpointStates, decide.Ready), append(w.startedAt, 0)
	}
	w.updateEndpointList()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	w.relayAddress = l.Addr().String()
	frontend := &platform.Frontend{
		Requests:   x,
		Deployment: deployment,
		Limiter:    connlimit.New(clock, 4096, zerolog.Nop()),
	}
	go frontend.Serve(l)
	go relay.NewEventLoop(x, 7, noDiscovery{}, zerolog.Nop()).Run(t.Context())
	go w.watcher.Run(t.Context())
	return w
}

func (w *deploymentUnderTest) updateEndpointList() {
	var all []relay.Endpoint
	for i, s := range w.servers {
		all = append(all, relay.Endpoint{
			ID:        s.ID,
			Address:   s.Address,
			State:     w.endpointStates[i],
			StartedAt: relay.TimeFromUnixMillis(w.startedAt[i]),
			Load:      -1,
		})
	}
	w.requests.UpdateEndpoints(decide.Snapshot, all)
}

func (w *deploymentUnderTest) setEndpointState(i int, m decide.EndpointState) {
	w.endpointStates[i] = m
	w.updateEndpointList()
}

// runClients runs n clients that connect and disconnect repeatedly until the test ends.
func (w *deploymentUnderTest) runClients(n int) {
	ctx, stop := context.WithCancel(context.Background())
	var all sync.WaitGroup
	w.t.Cleanup(func() { stop(); all.Wait() })
	for i := range n {
		all.Go(func() {
			for k := 0; ctx.Err() == nil; k++ {
				v := &fake.Viewer{
					Name:         fmt.Sprintf("c%d.%d", i, k),
					OpenFields:   fmt.Sprintf("%x c=m", i+1),
					WaitLimit:    3 * time.Second,
					SendEvery:    700 * time.Millisecond,
					RelayAddress: func() string { return w.relayAddress },
				}
				stay := time.Duration(400+150*((i*7+k*11)%40)) * time.Millisecond
				one, done := context.WithTimeout(ctx, stay)
				v.Run(one)
				done()
			}
		})
	}
}

// findEvent returns the event of a kind that has begun at a server, or nil if there is none.
func (w *deploymentUnderTest) findEvent(server string, k anomaly.Kind) *anomaly.Event {
	for _, s := range w.watcher.Report(report.Query{}).Servers {
		for _, e := range s.Events {
			if e.Server == server && e.Kind == k {
				return &e
			}
		}
	}
	return nil
}

func (w *deploymentUnderTest) waitFor(what string, ok func() bool) {
	w.t.Helper()
	for end := time.Now().Add(120 * time.Second); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			r := w.watcher.Report(report.Query{})
			for _, e := range r.Events() {
				w.t.Log(report.FormatEvent(e))
			}
			w.t.Fatalf("timed out after 120 s: %s", what)
		}
	}
}

// With scripted faults, several at once, of servers behind a relay on sockets, each fault is on the timeline
// of its server as an event or a state, and no timeline has a fault that did not happen at its server.
func TestEveryFaultIsOnItsTimeline(t *testing.T) {
	if os.Getenv("CAPERSAIL_LONG") == "" {
		t.Skip("runs for minutes: set CAPERSAIL_LONG=1 to run it. In CI anomaly.TestEveryKindIsFoundAlone " +
			"covers the same faults with a simulated clock")
	}
	w := newDeployment(t, 14, nil)
	w.runClients(200)
	began := time.Now()
	// At this rate of requests a relay probes each server every few seconds. Some faults are detected by
	// comparison with the server's past, so the servers with the most connections so far get these faults.
	ups := map[string]uint32{}
	w.waitFor("at least 8 servers with 14 connections and 6 probes", func() bool {
		known := 0
		for _, s := range w.watcher.Report(report.Query{}).Servers {
			total := sumIntervals(s)
			if ups[s.Name] = 0; total.Connections >= 14 && total.Probes >= 6 {
				ups[s.Name] = total.Connections
				known++
			}
		}
		return known >= 8
	})
	slices.SortStableFunc(w.servers, func(a, b *fake.ScanServer) int {
		return cmp.Compare(ups[b.ID], ups[a.ID])
	})
	type want struct {
		server string
		kind   anomaly.Kind
	}
	expected := map[want]bool{}
	expect := func(i int, k anomaly.Kind) {
		name := ""
		if i >= 0 {
			name = w.servers[i].ID
		}
		expected[want{name, k}] = true
		w.waitFor(fmt.Sprint(name, " ", k), func() bool { return w.findEvent(name, k) != nil })
	}
	expectState := func(i int, s timeline.State) {
		w.waitFor(fmt.Sprint(w.servers[i].ID, " ", s), func() bool {
			w.watcher.mu.Lock()
			defer w.watcher.mu.Unlock()
			for _, period := range w.watcher.timelines.Server(w.servers[i].ID).States {
				if period.State == s {
					return true
				}
			}
			return false
		})
	}

	faults := float64(time.Now().UnixMilli())
	w.servers[0].SetSilent(true)
	w.servers[1].SetFaults(fake.ServerFaults{AnswerError: true})
	w.servers[2].SetFaults(fake.ServerFaults{ProbeDelay: 120 * time.Millisecond})
	w.servers[3].SetFaults(fake.ServerFaults{UpDelay: 150 * time.Millisecond})
	expect(0, anomaly.Unresponsive)
	expect(1, anomaly.ErrorBurst)
	expect(2, anomaly.LateProbeReplies)
	expect(3, anomaly.SlowSetup)
	expectState(0, timeline.Unresponsive)
	w.servers[0].SetSilent(false)
	for i := 1; i <= 3; i++ {
		w.servers[i].SetFaults(fake.ServerFaults{})
	}

	w.servers[4].SetRejecting(true)
	w.servers[5].MigrateOneIn(2)
	w.servers[6].SetFaults(fake.ServerFaults{ExtraLoad: 0.9})
	w.servers[7].SetFaults(fake.ServerFaults{FreezeReport: true})
	expect(4, anomaly.RejectingAll)
	expect(5, anomaly.UnannouncedDrain)
	expect(6, anomaly.UnevenLoad)
	expect(7, anomaly.FrozenReport)
	w.servers[4].SetRejecting(false)
	w.servers[6].SetFaults(fake.ServerFaults{})
	w.servers[7].SetFaults(fake.ServerFaults{})

	waitForConnections := func(name string) {
		w.waitFor(name+" has 3 connections", func() bool {
			w.watcher.mu.Lock()
			defer w.watcher.mu.Unlock()
			return w.watcher.timelines.Server(name).OpenConnections() >= 3
		})
	}
	waitForConnections(w.servers[8].ID)
	w.servers[8].Kill()
	expect(8, anomaly.Unreachable)
	w.setEndpointState(8, decide.Removed)
	expectState(8, timeline.Gone)
	w.setEndpointState(9, decide.Draining) // in the endpoint list: a state, no event
	expectState(9, timeline.Draining)
	w.servers[9].MigrateOneIn(2)
	w.startedAt[10] = float64(time.Now().UnixMilli())
	w.setEndpointState(10, decide.Ready) // in the endpoint list: a new process under the same id
	expectState(10, timeline.Warming)
	for range 4 {
		w.setEndpointState(11, decide.Draining)
		w.setEndpointState(11, decide.Ready)
	}
	expect(11, anomaly.Flapping)
	w.requests.UpdateEndpoints(decide.WatchFailed, nil)
	w.requests.UpdateEndpoints(decide.WatchFailed, nil)
	expect(-1, anomaly.EndpointListUnreachable)

	old := w.servers[12] // a new process takes its address, and the endpoint list does not show it
	waitForConnections(old.ID)
	old.Kill()
	expect(12, anomaly.Unreachable)
	s, err := fake.NewScanServer(old.ID, old.Address, old.Feed, old.Tracker)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Kill()
	s.Capacity = 40
	expect(12, anomaly.UnannouncedRestart)

	// On a machine that is short of CPU time, these two kinds may be detected without a scripted fault, since
	// they depend on elapsed time.
	timeDependent := map[anomaly.Kind]bool{anomaly.SlowSetup: true, anomaly.LateProbeReplies: true}
	// Events that may follow from a scripted fault of the same server.
	consequences := map[want]bool{
		{w.servers[3].ID, anomaly.UnevenLoad}:         true,
		{w.servers[7].ID, anomaly.UnevenLoad}:         true,
		{w.servers[0].ID, anomaly.UnannouncedRestart}: true,
	}
	for _, e := range w.watcher.Report(report.Query{}).Events() {
		k := want{e.Server, e.Kind}
		if e.From < faults { // before the first fault: all clients connected at once
			continue
		}
		if !expected[k] && !consequences[k] && !timeDependent[e.Kind] {
			t.Errorf("got an event without a scripted fault: %s", report.FormatEvent(e))
		}
	}
	if r := w.watcher.Report(report.Query{}); r.DroppedEntries != 0 {
		t.Errorf("%d records were dropped, want 0", r.DroppedEntries)
	}
	t.Logf("found %d kinds of event and 5 states on 14 servers in %.0f s",
		len(expected), time.Since(began).Seconds())
}

func sumIntervals(s report.Server) (t timeline.Interval) {
	for _, x := range s.Intervals {
		t = timeline.Merge(t, x)
	}
	return t
}

// The store holds the same states, counts and events as the timelines in memory.
func TestStoreMatchesMemory(t *testing.T) {
	path := filepath.Join(t.TempDir(), "t.db")
	s, err := store.Open(path, store.Options{MaxBytes: 1 << 26, MaxAge: time.Hour}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	closed := make(chan struct{})
	go func() { s.Run(ctx); close(closed) }()
	w := newDeployment(t, 4, s)
	w.runClients(20)
	w.servers[0].SetSilent(true)
	w.waitFor("s0 unresponsive", func() bool { return w.findEvent("s0", anomaly.Unresponsive) != nil })
	w.servers[0].SetSilent(false)
	w.waitFor("s0 responsive again", func() bool { return w.findEvent("s0", anomaly.Unresponsive).To != 0 })
	live := w.watcher.Report(report.Query{})
	w.watcher.WriteOpenRows()
	s.Flush()
	stop()
	<-closed
	s, err = store.Open(path, store.Options{ReadOnly: true}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	kept, err := ReportFromStore(s, report.Query{})
	if err != nil {
		t.Fatal(err)
	}
	for _, l := range live.Servers {
		if l.Name == "" {
			continue
		}
		found := false
		for _, k := range kept.Servers {
			if k.Name != l.Name {
				continue
			}
			found = true
			a, b := sumIntervals(l), sumIntervals(k)
			if a.Placements > b.Placements || a.Probes > b.Probes || b.Placements == 0 {
				t.Errorf("%s: memory has %d placements and %d probes, the store has %d and %d",
					l.Name, a.Placements, a.Probes, b.Placements, b.Probes)
			}
			if len(k.States) < len(l.States) || !reflect.DeepEqual(k.States[:len(l.States)], l.States) {
				t.Errorf("%s: memory has states %+v, the store has %+v", l.Name, l.States, k.States)
			}
			if len(l.Events) != len(k.Events) {
				t.Errorf("%s: memory has %d events, the store has %d", l.Name, len(l.Events), len(k.Events))
			}
		}
		if !found {
			t.Errorf("server %s is not in the store", l.Name)
		}
	}
}
