package decide

import "testing"

func newTestRequests() *requestTable {
	return newRequestTable(testEnvironment(settings()), newEndpointSet(1))
}

func TestRequestIsKeptForItsAttemptsOutcome(t *testing.T) {
	table := newTestRequests()
	r := table.trackRequest(newRequest(1))
	r.server, r.phase = 0, phaseInFlight
	table.addConnection(r)
	if table.endRequest(r); table.requests[1] != r || r.phase != phaseDone {
		t.Fatal("the request was dropped, or is not done, while its attempt is in flight")
	}
	table.removeConnection(r)
	table.removeConnection(r) // a second time changes nothing
	if table.endRequest(r); len(table.requests) != 0 || table.ownConnections != 0 {
		t.Errorf("%d requests and %d connections left, want none", len(table.requests), table.ownConnections)
	}
}

func TestQueuedRequestWaitsOnce(t *testing.T) {
	table := newTestRequests()
	r := table.trackRequest(newRequest(1))
	table.queueRequest(r, 20*ms)
	timers := actionsOf[Timer](table.actions)
	if len(table.queuedRequests) != 1 || r.wakeAt != table.now+20*ms {
		t.Fatalf("%d requests queued until %v, want one until 20 ms from now",
			len(table.queuedRequests), r.wakeAt)
	}
	if len(timers) != 1 || timers[0].After != 20*ms {
		t.Fatalf("timers %v, want one after 20 ms", timers)
	}
	table.dequeueRequest(r)
	table.dequeueRequest(r)
	if len(table.queuedRequests) != 0 {
		t.Error("the request is still queued after dequeueRequest")
	}
}

// Only attempts that this relay sent count against a server's slow-start budget, not inherited connections.
func TestInheritedConnectionsAreNoAttempts(t *testing.T) {
	table := newTestRequests()
	table.trackInheritedConnection(Inherited{Request: newRequest(1), Server: 2})
	s := table.endpoints.stateOf(2)
	if len(s.connections) != 1 || table.ownConnections != 1 || len(s.slowStart.recentAttempts) != 0 {
		t.Errorf("%d connections and %d attempts at the server, want 1 and 0",
			len(s.connections), len(s.slowStart.recentAttempts))
	}
}

func TestUnknownClassAndTenantAreReplaced(t *testing.T) {
	table := newTestRequests()
	r := table.trackRequest(Request{ID: 1, Class: 99, Tenant: 99, Group: 5})
	if r.Class != 2 || r.Tenant != 2 || r.Group != 0 {
		t.Errorf("replaced by class %d, tenant %d, group %d, want 2, 2 and 0", r.Class, r.Tenant, r.Group)
	}
}

// Rule 2 depends on the first attempt that may have run, and only for classes that are not idempotent.
func TestFirstRunIsRecorded(t *testing.T) {
	table := newTestRequests()
	for _, c := range []struct {
		class  Class
		status Status
		want   ServerID
	}{{0, Reset, -1}, {1, ConnectFailed, -1}, {1, Reset, 3}, {2, TimedOut, 3}} {
		r := table.trackRequest(Request{ID: 1, Class: c.class})
		table.recordPossibleRun(r, Outcome{Server: 3, Status: c.status})
		table.recordPossibleRun(r, Outcome{Server: 4, Status: c.status})
		if r.mayHaveRunOn != c.want {
			t.Errorf("class %d, status %v: may have run on server %d, want %d",
				c.class, c.status, r.mayHaveRunOn, c.want)
		}
	}
}
