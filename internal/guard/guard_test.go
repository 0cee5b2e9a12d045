package guard

import (
	"testing"

	"capersail/decide"
)

// The facts that the tests begin with: a request that may be attempted, and its server.
var (
	listed  = ServerStatus{EverListed: true, Ready: true, Location: Location{"a", 1}}
	waiting = Request{Pending: true, Idempotency: decide.IdempotentWithKey, DedupWindow: 1000 * ms}
)

// aLease is a lease that was renewed at 10 s.
func aLease() *EndpointLease {
	lease := NewEndpointLease(0, 0)
	lease.Renew(10_000 * ms)
	return &lease
}

func TestMayAttemptAndMayWriteAgree(t *testing.T) {
	lease := aLease()
	retry := func(r *Request) {
		r.MayHaveRun, r.MayHaveRunAt, r.MayHaveRunOn, r.Attempts = true, 9800*ms, Location{"a", 1}, 1
	}
	for _, c := range []struct {
		name   string
		want   Denial
		change func(*Request, *ServerStatus)
	}{
		{"a first attempt", Allowed, func(*Request, *ServerStatus) {}},
		{"a retry with a key", Allowed, func(r *Request, _ *ServerStatus) { retry(r) }},
		{"not waiting", RequestNotPending, func(r *Request, _ *ServerStatus) { r.Pending = false }},
		{"ownership lost", OwnershipLost, func(r *Request, _ *ServerStatus) { r.OwnershipLost = true }},
		{"to a server that drains", ServerNotReady, func(_ *Request, to *ServerStatus) { to.Ready = false }},
		{"resumed at a server that drains", Allowed, func(r *Request, to *ServerStatus) {
			r.Resumed, to.Ready = true, false
		}},
		{"a retry of what is not idempotent", MayHaveRun, func(r *Request, _ *ServerStatus) {
			retry(r)
			r.Idempotency = decide.NonIdempotent
		}},
		{"a retry after the window", DedupWindowOver, func(r *Request, _ *ServerStatus) {
			retry(r)
			r.MayHaveRunAt = 9100 * ms
		}},
		{"a retry in another zone", OutsideDedupScope, func(r *Request, to *ServerStatus) {
			retry(r)
			r.DedupScope, to.Location.Zone = decide.ScopeZone, "b"
		}},
		{"a retry in another cell", OutsideDedupScope, func(r *Request, to *ServerStatus) {
			retry(r)
			r.DedupScope, to.Location.Cell = decide.ScopeCell, 2
		}},
		{"a retry of what is idempotent", Allowed, func(r *Request, _ *ServerStatus) {
			retry(r)
			r.Idempotency, r.MayHaveRunAt = decide.Idempotent, 0
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r, to := waiting, listed
			c.change(&r, &to)
			if got := MayAttempt(10_100*ms, r, to, lease); got != c.want {
				t.Errorf("MayAttempt(%+v, %+v) = %v, want %v", r, to, got, c.want)
			}
			if got := MayWrite(10_100*ms, 11_000*ms, r, to, lease, false); got != c.want {
				t.Errorf("MayWrite(%+v, %+v) = %v, want %v", r, to, got, c.want)
			}
		})
	}
}

func TestMayAttemptOnly(t *testing.T) {
	lease := aLease()
	inFlight := Request{Pending: true, AttemptInFlight: true}
	if got := MayAttempt(10_100*ms, inFlight, listed, lease); got != AttemptInFlight {
		t.Errorf("a second attempt: %v", got)
	}
	spent := Request{Pending: true, Attempts: 2, MaxAttempts: 2}
	if got := MayAttempt(10_100*ms, spent, listed, lease); got != AttemptsExhausted {
		t.Errorf("a third attempt of two: %v", got)
	}
	if got := MayAttempt(10_100*ms, waiting, ServerStatus{}, lease); got != ServerNotReady {
		t.Errorf("to a server that no list has named: %v", got)
	}
	if got := MayAttempt(10_000*ms+endpointLeaseTerm, waiting, listed, lease); got != EndpointLeaseExpired {
		t.Errorf("by a list whose lease has expired: %v", got)
	}
}

func TestMayWriteOnly(t *testing.T) {
	lease := aLease()
	if got := MayWrite(11_000*ms, 11_000*ms, waiting, listed, lease, false); got != AttemptTimedOut {
		t.Errorf("at its deadline: %v", got)
	}
	if got := MayWrite(10_100*ms, 11_000*ms, waiting, listed, lease, true); got != ClientGone {
		t.Errorf("for a client that has gone: %v", got)
	}
}

func TestMayReject(t *testing.T) {
	for _, c := range []struct {
		r    Request
		want Denial
	}{
		{Request{Idempotency: decide.Idempotent, MayHaveRun: true}, Allowed},
		{Request{Idempotency: decide.NonIdempotent}, Allowed},
		{Request{Idempotency: decide.NonIdempotent, MayHaveRun: true}, MayHaveRun},
		{Request{Idempotency: decide.NonIdempotent, AttemptInFlight: true}, Allowed},
		{Request{Idempotency: decide.NonIdempotent, AttemptInFlight: true, MayHaveWritten: true}, MayHaveRun},
		{Request{Idempotency: decide.IdempotentWithKey, MayHaveRun: true}, Allowed},
		{
			Request{Idempotency: decide.IdempotentWithKey, DedupScope: decide.ScopeZone, MayHaveRun: true},
			MayHaveRun,
		},
	} {
		if got := MayReject(c.r); got != c.want {
			t.Errorf("MayReject(%+v) = %v, want %v", c.r, got, c.want)
		}
	}
}
