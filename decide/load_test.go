package decide

import (
	"slices"
	"testing"
	"time"
)

// A report is up to a second old when it is read. Twenty placed within 300 ms once counted for nothing
// after a probe that brought the old figure again, and the server's overload went unseen for 4 s.
func TestOldReadingDoesNotHidePlacements(t *testing.T) {
	r := newRelay(t, settings(), 1, 1)
	r.b.load.learnedLoadPerConnection = 0.05
	loads := map[ServerID]float64{0: 0.1}
	for id := RequestID(1); id <= 4; id++ {
		r.place(newRequest(id), loads)
	}
	read := func() float64 {
		r.do(ProbeResult{Server: 0, Latency: ms, Report: loadReport(0.1, 2)})
		return r.b.load.estimatedLoad(&r.b.endpoints.servers[0])
	}
	if got := r.advance(loadReportDelay / 2); read() < 0.2 {
		t.Errorf("%v after four placements: %v",
			loadReportDelay/2, r.b.load.estimatedLoad(&got.b.endpoints.servers[0]))
	}
	if r.advance(loadReportDelay); read() > 0.11 {
		t.Error("placements are counted beside a reading that counts them")
	}
}

// For its first second or two a server has no report yet. That was taken for a load of 0: clients were
// migrated off a server at 1.04 onto one with three times its connections. It stays to be read, and counts
// what is held there.
func TestServerWithoutALoadReportIsNotIdle(t *testing.T) {
	set := settings()
	set.Relays, set.Tenants[0].ConnectionQuota = 3, 60
	r := newRelay(t, set, 1, 2)
	for id := RequestID(1); id <= 10; id++ {
		r.do(Inherited{Request: newRequest(id), Server: 0})
	}
	r.do(ProbeResult{Server: 0, Latency: ms, Report: NoLoadReport})
	r.do(ProbeResult{Server: 1, Latency: ms, Report: loadReport(0.3, -1)})
	if got := actionsOf[Forward](r.do(newRequest(20))); len(got) != 1 || got[0].Server != 1 {
		t.Errorf("placed as %v beside a server that holds ten and has no report", got)
	}
	watchDue := TimerFired{Token: timerLoadCheck.token(0)}
	probes := actionsOf[Probe](r.advance(2 * loadCheckInterval).do(watchDue))
	if !slices.Contains(probes, Probe{Server: 0}) {
		t.Errorf("the watch asks %v, not the server without a report", probes)
	}
}

// Where no report tells a load and no tenant has a quota, every server was reckoned at 0: a relay sent all
// of a group to the first of its subset, whatever it held there and however long that took to answer, and a
// server in slow start got what a constant allowed.
func TestSpreadsWithoutLoadReports(t *testing.T) {
	place := func(took func(ServerID) time.Duration) map[ServerID]int {
		set := settings()
		set.Tenants, set.GroupAffinity, set.Relays = nil, true, 1
		r := newRelay(t, set, 3, 8)
		on := map[ServerID]int{}
		for id := RequestID(1); id <= 200; id++ {
			acts := r.advance(300 * ms).do(Request{
				ID:       id,
				Tenant:   NoTenant,
				TimeLeft: 2 * time.Second,
				Group:    1 + uint64(id)%2*(uint64(id)%12),
			})
			for i := 0; i < len(acts); i++ {
				if p, ok := acts[i].(Probe); ok {
					acts = append(acts, r.do(ProbeResult{
						Server: p.Server, Latency: took(p.Server), Report: NoLoadReport,
					})...)
				}
			}
			for _, s := range actionsOf[Forward](acts) {
				on[s.Server]++
				r.do(Opened{ID: id, Server: s.Server, SetupLatency: 10 * ms})
			}
		}
		return on
	}
	even := place(func(ServerID) time.Duration { return 4 * ms })
	most, used := 0, 0
	for _, n := range even {
		most, used = max(most, n), used+1
	}
	if most > 70 || used < 5 { // half of them are one group's, which the first of its subset got all
		t.Errorf("200 connections of seven groups over eight servers: %v", even)
	}
	late := place(func(id ServerID) time.Duration {
		if id == 2 {
			return 120 * ms
		}
		return 4 * ms
	})
	if late[2] > even[2]/2 {
		t.Errorf("one that takes 120 ms to answer a probe got %d, and %d when it took 4: %v",
			late[2], even[2], late)
	}
}

// A load report counts what is older than its delay, and no more.
func TestReadingDropsWhatItCounts(t *testing.T) {
	var r reading
	for at := range time.Duration(4) {
		r.recordPlacement(at)
		r.recordClose(at)
	}
	r.recordPeerPlacements(3, 1)
	r.recordPeerPlacements(-2, 3)
	r.dropReportedChanges(1)
	got := [3]int{len(r.unreportedPlacements), len(r.unreportedPeerPlacements), len(r.unreportedCloses)}
	if want := [3]int{2, 0, 4}; got != want {
		t.Errorf("left %v of placements, peers' and closes, want %v", got, want)
	}
}

func TestPeerPlacementsAreBounded(t *testing.T) {
	var r reading
	for range 3 {
		r.recordPeerPlacements(maxUnreportedPeerPlacements/2+1, 0)
	}
	if n := len(r.unreportedPeerPlacements); n != maxUnreportedPeerPlacements {
		t.Errorf("%d kept, want %d", n, maxUnreportedPeerPlacements)
	}
}

func TestSlowProbesAreToldFromTheUsual(t *testing.T) {
	m := &loadModel{environment: testEnvironment(settings())}
	for range 20 {
		if m.recordProbeLatency(4 * ms) {
			t.Fatal("the usual is slow")
		}
	}
	if !m.recordProbeLatency(40 * ms) {
		t.Error("ten times the usual is not slow")
	}
	for range 100 { // everything is slower now
		m.recordProbeLatency(40 * ms)
	}
	if m.recordProbeLatency(40 * ms) {
		t.Error("what all probes take is slow")
	}
}

// What a server that is never read has had placed and closed takes bounded space, and what is open there is
// still counted. Guards against a process that keeps each of its placements for good.
func TestUnreadServersTakeBoundedSpace(t *testing.T) {
	const open = 300
	var r reading
	for i := range 4 * maxUnreportedChanges {
		r.recordPlacement(time.Duration(i))
		if i >= open {
			r.recordClose(time.Duration(i))
		}
	}
	placements, closes := len(r.unreportedPlacements), len(r.unreportedCloses)
	if placements > maxUnreportedChanges || closes > maxUnreportedChanges {
		t.Errorf("%d placements and %d closes are kept", placements, closes)
	}
	if placements-closes != open {
		t.Errorf("%d are counted as open, not %d", placements-closes, open)
	}
	for i := range 4 * maxUnreportedChanges { // whatever is never closed, or was not placed here
		r.recordClose(time.Duration(i))
	}
	if len(r.unreportedCloses) > maxUnreportedChanges {
		t.Errorf("%d closes are kept", len(r.unreportedCloses))
	}
}
