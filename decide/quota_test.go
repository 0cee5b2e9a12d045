package decide

import "testing"

// The tenants' quotas bound the load per connection that a relay learns. Without that bound, a relay that
// held few of the connections learned that each uses a sixth of a server, and rejected most requests that
// came from another relay at its restart. The quotas also stand in for the load per connection at a relay
// that has just started: without them, one placed 41 connections in a row on one server.
func TestQuotasBoundLoadPerConnection(t *testing.T) {
	set := settings()
	set.Tenants[0].ConnectionQuota, set.Tenants[1].ConnectionQuota = 60, 60
	r := newRelay(t, set, 1, 5)
	mean := quotaCapacityShare * 5 / 120.0
	loads := map[ServerID]float64{0: 0.1, 1: 0.1, 2: 0.1, 3: 0.1, 4: 0.1}
	forwards := map[ServerID]int{}
	for id := RequestID(1); id <= 20; id++ {
		for _, s := range actionsOf[Forward](r.answerProbes(r.handle(newRequest(id)), loads)) {
			forwards[s.Server]++
		}
	}
	for on, n := range forwards {
		if n > 8 {
			t.Errorf("a relay that has just started forwarded %d of 20 requests to server %d, want at most 8",
				n, on)
		}
	}
	r.b.load.learnedLoadPerConnection, r.b.requests.ownConnections = 0, 3
	for range 50 {
		r.b.load.learnLoadPerConnection(&serverState{
			slowStart: slowStart{startedAt: -1}, reading: reading{load: 0.6},
		}, NoLoadReport)
	}
	if got := r.b.load.learnedLoadPerConnection; got < mean || got > maxLoadOverQuotaMean*mean+1e-9 {
		t.Errorf(
			"learned load per connection %.3f, want 1 to 2.5 times %.3f, the estimate from the quotas",
			got, mean)
	}
}

func TestQuotaDoesNotShrinkWithACrash(t *testing.T) {
	q := newQuota([]TenantInfo{{ConnectionQuota: 30}, {ConnectionQuota: 50}})
	all := q.loadPerConnection(10)
	if want := quotaCapacityShare * 10 / 80; all != want {
		t.Errorf("load per connection with ten servers: %.3f, want %.3f", all, want)
	}
	if left := q.loadPerConnection(2); left != all {
		t.Errorf("load per connection after eight servers have crashed: %.3f, want %.3f", left, all)
	}
	none := newQuota(nil)
	if got := none.loadPerConnection(10); got != 0 {
		t.Errorf("load per connection without quotas: %.3f, want 0", got)
	}
}
