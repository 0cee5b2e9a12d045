package decide

import (
	"slices"
	"time"
)

// requestPhase is the state of a request.
type requestPhase uint8

const (
	phaseQueued   requestPhase = iota // waits for probes or for the first endpoint list
	phaseBackoff                      // waits for the end of a retry's backoff
	phaseInFlight                     // an attempt is in flight
	phaseOpen                         // its connection is open
	phaseDone                         // has its final answer; an attempt may still be in flight
)

// request is a request without a final answer, or an open connection.
type request struct {
	Request
	phase            requestPhase
	deadline         time.Duration
	server           ServerID      // of the latest attempt, -1 before the first
	attempts         int           // number of attempts sent
	lastSentAt       time.Duration // when the latest attempt was sent
	wakeAt           time.Duration // a timer that fires before this time belongs to an earlier wait
	probesAwaited    int           // number of probe results that it still waits for
	triedOtherZone   bool          // servers of another zone have been probed for it
	awaitedFirstList bool          // it has waited for the first endpoint list
	subsetWidened    int           // 1 once its group's subset has been widened for it, else 0
	mayHaveRunOn     ServerID      // unless Idempotent: server of the first attempt that may have run, or -1
	mayHaveRunAt     time.Duration // when that attempt was sent
}

// requestTable holds the requests and connections of this relay.
type requestTable struct {
	*environment
	endpoints      *endpointSet
	requests       map[RequestID]*request
	queuedRequests []*request // in phaseQueued, in the order in which their waits began
	ownConnections int        // own attempts in flight and open connections, at all servers
}

func newRequestTable(env *environment, endpoints *endpointSet) *requestTable {
	return &requestTable{environment: env, endpoints: endpoints, requests: map[RequestID]*request{}}
}

// trackRequest adds a request. A class that is not in the settings becomes the nearest class; a tenant that
// is not in the settings becomes the index after the last tenant.
func (t *requestTable) trackRequest(e Request) *request {
	e.Class = min(max(e.Class, 0), Class(len(t.settings.Classes)-1))
	if e.Tenant < 0 || int(e.Tenant) >= len(t.settings.Tenants) {
		e.Tenant = Tenant(len(t.settings.Tenants))
	}
	if !t.settings.GroupAffinity { // groups are not used in this deployment
		e.Group = 0
	}
	r := &request{Request: e, deadline: t.now + e.TimeLeft, server: -1, mayHaveRunOn: -1}
	t.requests[e.ID] = r
	return r
}

// trackInheritedConnection adds a connection that was already open through this relay when it started.
func (t *requestTable) trackInheritedConnection(e Inherited) {
	r := t.trackRequest(e.Request)
	r.attempts, r.phase, r.server = 1, phaseOpen, e.Server
	t.addConnection(r)
}

// recordPossibleRun records the first attempt that may have run, unless the request's class is idempotent.
func (t *requestTable) recordPossibleRun(r *request, e Outcome) {
	if !e.Status.NeverRan() && r.mayHaveRunOn < 0 && t.class(r).Idempotency != Idempotent {
		r.mayHaveRunOn, r.mayHaveRunAt = e.Server, r.lastSentAt
	}
}

// endRequest ends a request. While an attempt is in flight, the request is kept until the attempt's outcome.
func (t *requestTable) endRequest(r *request) {
	t.dequeueRequest(r)
	r.phase = phaseDone
	if r.server < 0 || !t.endpoints.stateOf(r.server).holdsRequest(r.ID) {
		delete(t.requests, r.ID)
	}
}

// queueRequest queues a request for at most the given wait.
func (t *requestTable) queueRequest(r *request, wait time.Duration) {
	r.phase = phaseQueued
	r.wakeAt = t.now + wait
	t.queuedRequests = append(t.queuedRequests, r)
	t.setTimer(timerRequest, uint64(r.ID), wait)
}

// dequeueRequest removes a request from the queue if it is queued.
func (t *requestTable) dequeueRequest(r *request) {
	if i := slices.Index(t.queuedRequests, r); i >= 0 {
		t.queuedRequests = slices.Delete(t.queuedRequests, i, i+1)
	}
}

// addConnection counts the request's attempt or open connection at its server.
func (t *requestTable) addConnection(r *request) {
	s := t.endpoints.stateOf(r.server)
	s.connections = append(s.connections, r.ID)
	t.ownConnections++
	if r.phase == phaseInFlight {
		s.slowStart.recordAttempt(t.now, t.settings.Rules.OverloadWindow)
	}
}

// removeConnection reverts addConnection if the request is still counted.
func (t *requestTable) removeConnection(r *request) {
	s := t.endpoints.stateOf(r.server)
	if i := slices.Index(s.connections, r.ID); i >= 0 {
		s.connections = slices.Delete(s.connections, i, i+1)
		s.reading.recordClose(t.now)
		t.ownConnections--
	}
}
