package guard

import (
	"testing"

	"capersail/decide"
)

// The default arguments of the tests: a server that is ready, and a request that may be attempted there.
var (
	ready   = ServerStatus{EverListed: true, Ready: true, Location: Location{"a", 1}}
	pending = Request{Pending: true, Idempotency: decide.IdempotentWithKey, DedupWindow: 1000 * ms}
)

// newRenewedLease returns a lease that was renewed at 10 s.
func newRenewedLease() *EndpointLease {
	lease := NewEndpointLease(0, 0)
	lease.Renew(10_000 * ms)
	return &lease
}

func TestMayAttemptAndMayWriteAgree(t *testing.T) {
	lease := newRenewedLease()
	retry := func(r *Request) {
		r.MayHaveRun, r.MayHaveRunAt, r.MayHaveRunOn, r.Attempts = true, 9800*ms, Location{"a", 1}, 1
	}
	for _, c := range []struct {
		name   string
		want   Denial
		change func(*Request, *ServerStatus)
	}{
		{"first attempt", Allowed, func(*Request, *ServerStatus) {}},
		{"retry with an idempotency key", Allowed, func(r *Request, _ *ServerStatus) { retry(r) }},
		{"request not pending", RequestNotPending, func(r *Request, _ *ServerStatus) { r.Pending = false }},
		{"ownership lost", OwnershipLost, func(r *Request, _ *ServerStatus) { r.OwnershipLost = true }},
		{"server is draining", ServerNotReady, func(_ *Request, to *ServerStatus) { to.Ready = false }},
		{"resumed at a draining server", Allowed, func(r *Request, to *ServerStatus) {
			r.Resumed, to.Ready = true, false
		}},
		{"retry of a non-idempotent request", MayHaveRun, func(r *Request, _ *ServerStatus) {
			retry(r)
			r.Idempotency = decide.NonIdempotent
		}},
		{"retry after the dedup window", DedupWindowOver, func(r *Request, _ *ServerStatus) {
			retry(r)
			r.MayHaveRunAt = 9100 * ms
		}},
		{"retry in another zone", OutsideDedupScope, func(r *Request, to *ServerStatus) {
			retry(r)
			r.DedupScope, to.Location.Zone = decide.ScopeZone, "b"
		}},
		{"retry in another cell", OutsideDedupScope, func(r *Request, to *ServerStatus) {
			retry(r)
			r.DedupScope, to.Location.Cell = decide.ScopeCell, 2
		}},
		{"retry of an idempotent request", Allowed, func(r *Request, _ *ServerStatus) {
			retry(r)
			r.Idempotency, r.MayHaveRunAt = decide.Idempotent, 0
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r, to := pending, ready
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

func TestDenialsByMayAttemptOnly(t *testing.T) {
	lease := newRenewedLease()
	inFlight := Request{Pending: true, AttemptInFlight: true}
	if got := MayAttempt(10_100*ms, inFlight, ready, lease); got != AttemptInFlight {
		t.Errorf("second attempt while one is in flight: got %v, want AttemptInFlight", got)
	}
	exhausted := Request{Pending: true, Attempts: 2, MaxAttempts: 2}
	if got := MayAttempt(10_100*ms, exhausted, ready, lease); got != AttemptsExhausted {
		t.Errorf("third attempt where two are allowed: got %v, want AttemptsExhausted", got)
	}
	if got := MayAttempt(10_100*ms, pending, ServerStatus{}, lease); got != ServerNotReady {
		t.Errorf("attempt at a server that was never listed: got %v, want ServerNotReady", got)
	}
	if got := MayAttempt(10_000*ms+endpointLeaseTerm, pending, ready, lease); got != EndpointLeaseExpired {
		t.Errorf("attempt after the endpoint lease expired: got %v, want EndpointLeaseExpired", got)
	}
}

func TestDenialsByMayWriteOnly(t *testing.T) {
	lease := newRenewedLease()
	if got := MayWrite(11_000*ms, 11_000*ms, pending, ready, lease, false); got != AttemptTimedOut {
		t.Errorf("write at the deadline: got %v, want AttemptTimedOut", got)
	}
	if got := MayWrite(10_100*ms, 11_000*ms, pending, ready, lease, true); got != ClientGone {
		t.Errorf("write for a client that has gone: got %v, want ClientGone", got)
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
