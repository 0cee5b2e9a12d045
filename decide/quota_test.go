package decide

import "testing"

// A relay that holds few of the connections learnt from its own that each takes a sixth of a server, and
// rejected most of what came from another at that one's restart. The tenants' quotas bound what it may
// believe. One that has just started, and has learnt nothing, sent 41 in a row to one server: they stand
// for it in a pick.
func TestQuotasBoundLoadPerConnection(t *testing.T) {
	set := settings()
	set.Tenants[0].ConnectionQuota, set.Tenants[1].ConnectionQuota = 60, 60
	r := newRelay(t, set, 1, 5)
	mean := quotaCapacityShare * 5 / 120.0
	loads := map[ServerID]float64{0: 0.1, 1: 0.1, 2: 0.1, 3: 0.1, 4: 0.1}
	counts := map[ServerID]int{}
	for id := RequestID(1); id <= 20; id++ {
		for _, s := range actionsOf[Forward](r.answer(r.do(newRequest(id)), loads)) {
			counts[s.Server]++
		}
	}
	for on, n := range counts {
		if n > 8 {
			t.Errorf("a fresh relay sent %d of 20 to server %d", n, on)
		}
	}
	r.b.load.learnedLoadPerConnection, r.b.requests.ownConnections = 0, 3
	for range 50 {
		r.b.load.learnLoadPerConnection(&serverState{
			slowStart: slowStart{startedAt: -1}, reading: reading{load: 0.6},
		}, NoLoadReport)
	}
	if got := r.b.load.learnedLoadPerConnection; got < mean || got > maxLoadOverQuotaMean*mean+1e-9 {
		t.Errorf("a connection adds %.3f, by the quotas about %.3f", got, mean)
	}
}

func TestQuotaDoesNotShrinkWithACrash(t *testing.T) {
	q := newQuota([]TenantInfo{{ConnectionQuota: 30}, {ConnectionQuota: 50}})
	all := q.loadPerConnection(10)
	if want := quotaCapacityShare * 10 / 80; all != want {
		t.Errorf("ten servers: %.3f, want %.3f", all, want)
	}
	if left := q.loadPerConnection(2); left != all {
		t.Errorf("after a crash: %.3f, want %.3f", left, all)
	}
	none := newQuota(nil)
	if got := none.loadPerConnection(10); got != 0 {
		t.Errorf("without quotas: %.3f", got)
	}
}
