package decide

import (
	"slices"
	"testing"
	"time"
)

// A load report may be up to a second old when it is read. Guards against a probe that brings an old report
// and makes own placements since then count for nothing: twenty placements within 300 ms were forgotten, and
// the server's overload went unnoticed for 4 s.
func TestOldReadingDoesNotHidePlacements(t *testing.T) {
	r := newRelay(t, settings(), 1, 1)
	r.b.load.learnedLoadPerConnection = 0.05
	loads := map[ServerID]float64{0: 0.1}
	for id := RequestID(1); id <= 4; id++ {
		r.place(newRequest(id), loads)
	}
	read := func() float64 {
		r.handle(ProbeResult{Server: 0, Latency: ms, Report: loadReport(0.1, 2)})
		return r.b.load.estimatedLoad(&r.b.endpoints.servers[0])
	}
	if got := r.advance(loadReportDelay / 2); read() < 0.2 {
		t.Errorf("estimated load %v after four placements: %v, want at least 0.2",
			loadReportDelay/2, r.b.load.estimatedLoad(&got.b.endpoints.servers[0]))
	}
	if r.advance(loadReportDelay); read() > 0.11 {
		t.Error("placements that the load report includes are still added to it")
	}
}

// A server has no load report for its first second or two. Guards against taking that for a load of 0:
// clients were migrated off a server at a load of 1.04 onto one with three times its connections. Such a
// server must still be probed, and its load is guessed from the connections held there.
func TestServerWithoutALoadReportIsNotIdle(t *testing.T) {
	set := settings()
	set.Relays, set.Tenants[0].ConnectionQuota = 3, 60
	r := newRelay(t, set, 1, 2)
	for id := RequestID(1); id <= 10; id++ {
		r.handle(Inherited{Request: newRequest(id), Server: 0})
	}
	r.handle(ProbeResult{Server: 0, Latency: ms, Report: NoLoadReport})
	r.handle(ProbeResult{Server: 1, Latency: ms, Report: loadReport(0.3, -1)})
	if got := actionsOf[Forward](r.handle(newRequest(20))); len(got) != 1 || got[0].Server != 1 {
		t.Errorf("forwarded as %v, want to server 1: server 0 holds ten connections and has no load report",
			got)
	}
	loadCheckDue := TimerFired{Token: timerLoadCheck.token(0)}
	probes := actionsOf[Probe](r.advance(2 * loadCheckInterval).handle(loadCheckDue))
	if !slices.Contains(probes, Probe{Server: 0}) {
		t.Errorf("probes of the load check: %v, want one of server 0, which has no load report", probes)
	}
}

// Without load reports and tenant quotas, every server used to count as idle: a relay placed all connections
// of a group on the first server of its subset, whatever it held there and however slowly that server
// answered probes, and a server in slow start got a constant number of connections.
func TestSpreadsWithoutLoadReports(t *testing.T) {
	place := func(took func(ServerID) time.Duration) map[ServerID]int {
		set := settings()
		set.Tenants, set.GroupAffinity, set.Relays = nil, true, 1
		r := newRelay(t, set, 3, 8)
		placed := map[ServerID]int{}
		for id := RequestID(1); id <= 200; id++ {
			acts := r.advance(300 * ms).handle(Request{
				ID:       id,
				Tenant:   NoTenant,
				TimeLeft: 2 * time.Second,
				Group:    1 + uint64(id)%2*(uint64(id)%12),
			})
			for i := 0; i < len(acts); i++ {
				if p, ok := acts[i].(Probe); ok {
					acts = append(acts, r.handle(ProbeResult{
						Server: p.Server, Latency: took(p.Server), Report: NoLoadReport,
					})...)
				}
			}
			for _, s := range actionsOf[Forward](acts) {
				placed[s.Server]++
				r.handle(Opened{ID: id, Server: s.Server, SetupLatency: 10 * ms})
			}
		}
		return placed
	}
	even := place(func(ServerID) time.Duration { return 4 * ms })
	most, used := 0, 0
	for _, n := range even {
		most, used = max(most, n), used+1
	}
	if most > 70 || used < 5 { // one group has half of them; the first server of its subset got all of those
		t.Errorf(
			"200 connections of seven groups by server: %v, want at most 70 on one and at least 5 used",
			even)
	}
	late := place(func(id ServerID) time.Duration {
		if id == 2 {
			return 120 * ms
		}
		return 4 * ms
	})
	if late[2] > even[2]/2 {
		t.Errorf(
			"server 2 got %d connections with probes of 120 ms and %d with 4 ms, want at most half: %v",
			late[2], even[2], late)
	}
}

// A load report includes the changes that are older than its delay, and no others.
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
		t.Errorf("unreported placements, peer placements and closes left: %v, want %v", got, want)
	}
}

func TestPeerPlacementsAreBounded(t *testing.T) {
	var r reading
	for range 3 {
		r.recordPeerPlacements(maxUnreportedPeerPlacements/2+1, 0)
	}
	if n := len(r.unreportedPeerPlacements); n != maxUnreportedPeerPlacements {
		t.Errorf("%d peer placements stored, want %d", n, maxUnreportedPeerPlacements)
	}
}

func TestSlowProbesAreToldFromTheUsual(t *testing.T) {
	m := &loadModel{environment: testEnvironment(settings())}
	for range 20 {
		if m.recordProbeLatency(4 * ms) {
			t.Fatal("a probe with the usual latency counts as slow")
		}
	}
	if !m.recordProbeLatency(40 * ms) {
		t.Error("a probe with ten times the usual latency does not count as slow")
	}
	for range 100 { // all servers have become slower
		m.recordProbeLatency(40 * ms)
	}
	if m.recordProbeLatency(40 * ms) {
		t.Error("a probe with the latency of all recent probes counts as slow")
	}
}

// The changes stored for a server that is never read take bounded space, and the number of connections open
// there stays right. Guards against a process that stores every placement for good.
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
		t.Errorf("%d placements and %d closes stored, want at most maxUnreportedChanges of each",
			placements, closes)
	}
	if placements-closes != open {
		t.Errorf("%d connections count as open, want %d", placements-closes, open)
	}
	for i := range 4 * maxUnreportedChanges { // closes of connections that this relay did not place
		r.recordClose(time.Duration(i))
	}
	if len(r.unreportedCloses) > maxUnreportedChanges {
		t.Errorf("%d closes stored, want at most maxUnreportedChanges", len(r.unreportedCloses))
	}
}
