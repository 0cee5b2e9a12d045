package guard

import (
	"testing"

	"capersail/decide"
)

func TestMayTryAndWrite(t *testing.T) {
	list := NewEndpointLease(0, 0)
	list.Renew(10_000)
	target := ServerStatus{EverListed: true, Ready: true, Location: Location{"a", 1}}
	sound := Request{Waiting: true, Effect: decide.IdempotentWithKey, DedupWindow: 1000}
	with := func(change func(*Request, *ServerStatus)) (Request, ServerStatus) {
		r, to := sound, target
		change(&r, &to)
		return r, to
	}
	repeat := func(r *Request) {
		r.MayHaveRun, r.MayHaveRunAt, r.MayHaveRunOn, r.Attempts = true, 9800, Location{"a", 1}, 1
	}
	for _, c := range []struct {
		want   Denial
		change func(*Request, *ServerStatus)
	}{
		{Allowed, func(*Request, *ServerStatus) {}},
		{Allowed, func(r *Request, _ *ServerStatus) { repeat(r) }},
		{NotWaiting, func(r *Request, _ *ServerStatus) { r.Waiting = false }},
		{OwnershipLost, func(r *Request, _ *ServerStatus) { r.OwnershipLost = true }},
		{ServerNotReady, func(_ *Request, to *ServerStatus) { to.Ready = false }},
		{Allowed, func(r *Request, to *ServerStatus) { r.Resumed, to.Ready = true, false }},
		{MayHaveRun, func(r *Request, _ *ServerStatus) { repeat(r); r.Effect = decide.NonIdempotent }},
		{DedupWindowOver, func(r *Request, _ *ServerStatus) { repeat(r); r.MayHaveRunAt = 9100 }},
		{OutsideDedupScope, func(r *Request, to *ServerStatus) { repeat(r); r.Scope = decide.ScopeZone; to.Location.Zone = "b" }},
		{OutsideDedupScope, func(r *Request, to *ServerStatus) { repeat(r); r.Scope = decide.ScopeCell; to.Location.Cell = 2 }},
		{Allowed, func(r *Request, to *ServerStatus) { repeat(r); r.Effect = decide.Idempotent; r.MayHaveRunAt = 0 }},
	} {
		r, to := with(c.change)
		if got := MayAttempt(10_100, r, to, &list); got != c.want {
			t.Errorf("MayTry(%+v, %+v) = %v, want %v", r, to, got, c.want)
		}
		if got := MayWrite(10_100, 11_000, r, to, &list, false); got != c.want {
			t.Errorf("MayWrite(%+v, %+v) = %v, want %v", r, to, got, c.want)
		}
	}
	if got := MayAttempt(10_100, Request{Waiting: true, AttemptInFlight: true}, target, &list); got != AttemptInFlight {
		t.Errorf("a second attempt: %v", got)
	}
	if got := MayAttempt(10_100, Request{Waiting: true, Attempts: 2, MaxAttempts: 2}, target, &list); got != AttemptsExhausted {
		t.Errorf("a third attempt of two: %v", got)
	}
	if got := MayAttempt(10_100, sound, ServerStatus{}, &list); got != ServerNotReady {
		t.Errorf("to a server that no list has named: %v", got)
	}
	if got := MayWrite(11_000, 11_000, sound, target, &list, false); got != AttemptTimedOut {
		t.Errorf("at its deadline: %v", got)
	}
	if got := MayWrite(10_100, 11_000, sound, target, &list, true); got != ClientGone {
		t.Errorf("for a client that has gone: %v", got)
	}
	if got := MayAttempt(10_000+endpointLeaseTerm, sound, target, &list); got != EndpointLeaseExpired {
		t.Errorf("by a list that has lapsed: %v", got)
	}
}

func TestMayRefuse(t *testing.T) {
	for _, c := range []struct {
		r    Request
		want Denial
	}{
		{Request{Effect: decide.Idempotent, MayHaveRun: true}, Allowed},
		{Request{Effect: decide.NonIdempotent}, Allowed},
		{Request{Effect: decide.NonIdempotent, MayHaveRun: true}, MayHaveRun},
		{Request{Effect: decide.NonIdempotent, AttemptInFlight: true}, Allowed},
		{Request{Effect: decide.NonIdempotent, AttemptInFlight: true, MayHaveWritten: true}, MayHaveRun},
		{Request{Effect: decide.IdempotentWithKey, MayHaveRun: true}, Allowed},
		{Request{Effect: decide.IdempotentWithKey, Scope: decide.ScopeZone, MayHaveRun: true}, MayHaveRun},
	} {
		if got := MayReject(c.r); got != c.want {
			t.Errorf("MayRefuse(%+v) = %v, want %v", c.r, got, c.want)
		}
	}
}
