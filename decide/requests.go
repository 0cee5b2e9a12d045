package decide

import (
	"slices"
	"time"
)

// requestPhase is how far a request has come.
type requestPhase uint8

const (
	phaseQueued   requestPhase = iota // waits for probes, or for the first endpoint list
	phaseBackoff                      // waits for its retry
	phaseInFlight                     // an attempt is out
	phaseOpen                         // its connection is open
	phaseDone                         // answered; an attempt may still be out
)

// request is one that has no final answer yet, or an open connection.
type request struct {
	Request
	phase            requestPhase
	deadline         time.Duration
	server           ServerID      // of the latest attempt, -1 before the first
	attempts         int           // attempts sent
	lastSentAt       time.Duration // when the latest was sent
	wakeAt           time.Duration // a timer that fires before this is from an earlier wait
	probesAwaited    int           // results of probes that it still waits for
	triedOtherZone   bool          // it has had another zone probed
	awaitedFirstList bool          // it has waited for the first endpoint list
	subsetWidened    int           // 1 once its group's subset has been widened for it
	mayHaveRunOn     ServerID      // not idempotent: server of the first attempt that may have run, or -1
	mayHaveRunAt     time.Duration // when that attempt was sent
}

// requestTable holds the requests and connections of this relay.
type requestTable struct {
	*environment
	endpoints      *endpointSet
	requests       map[RequestID]*request
	queuedRequests []*request // in phaseQueued, in the order in which they began to wait
	ownConnections int        // own attempts in flight and open connections, at all servers
}

func newRequestTable(env *environment, endpoints *endpointSet) *requestTable {
	return &requestTable{environment: env, endpoints: endpoints, requests: map[RequestID]*request{}}
}

// trackRequest enters a request. A class that the settings do not know becomes the nearest, any tenant that
// they do not know the one after the last.
func (t *requestTable) trackRequest(e Request) *request {
	e.Class = min(max(e.Class, 0), Class(len(t.settings.Classes)-1))
	if e.Tenant < 0 || int(e.Tenant) >= len(t.settings.Tenants) {
		e.Tenant = Tenant(len(t.settings.Tenants))
	}
	if !t.settings.GroupAffinity { // then a group means nothing here
		e.Group = 0
	}
	r := &request{Request: e, deadline: t.now + e.TimeLeft, server: -1, mayHaveRunOn: -1}
	t.requests[e.ID] = r
	return r
}

// trackInherited enters a connection that is open through this relay at its start.
func (t *requestTable) trackInherited(e Inherited) {
	r := t.trackRequest(e.Request)
	r.attempts, r.phase, r.server = 1, phaseOpen, e.Server
	t.addConnection(r)
}

// recordRun notes where an attempt may have run, if that matters to the request's class and is the first.
func (t *requestTable) recordRun(r *request, e Outcome) {
	if !e.Status.NeverRan() && r.mayHaveRunOn < 0 && t.class(r).Idempotency != Idempotent {
		r.mayHaveRunOn, r.mayHaveRunAt = e.Server, r.lastSentAt
	}
}

// endRequest ends a request; while an attempt is out it is kept for the attempt's outcome.
func (t *requestTable) endRequest(r *request) {
	t.dequeueRequest(r)
	r.phase = phaseDone
	if r.server < 0 || !t.endpoints.stateOf(r.server).holds(r.ID) {
		delete(t.requests, r.ID)
	}
}

// queueRequest has a request wait, so long at the most.
func (t *requestTable) queueRequest(r *request, wait time.Duration) {
	r.phase = phaseQueued
	r.wakeAt = t.now + wait
	t.queuedRequests = append(t.queuedRequests, r)
	t.setTimer(timerRequest, uint64(r.ID), wait)
}

// dequeueRequest ends a request's wait, if it waits.
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

// removeConnection takes back what addConnection counted, if it is still there.
func (t *requestTable) removeConnection(r *request) {
	s := t.endpoints.stateOf(r.server)
	if i := slices.Index(s.connections, r.ID); i >= 0 {
		s.connections = slices.Delete(s.connections, i, i+1)
		s.reading.recordClose(t.now)
		t.ownConnections--
	}
}
