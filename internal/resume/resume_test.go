package resume

import (
	"testing"
	"time"

	"capersail/internal/relay"
)

// Records whose tokens have expired are removed; those that are owned, or whose tokens are valid still, stay.
func TestSweepRemovesExpiredRecordsOnly(t *testing.T) {
	zk := newOwnershipService(t)
	now := time.Now().UnixMilli()
	longAgo := now - 10_000_000
	r := newRelay(t, zk)
	r.setWallClock(longAgo)
	old := r.newStreams(t, 3)
	r.setWallClock(now)
	r.newStreams(t, 2)
	r.setWallClock(longAgo)
	r.resumeStreams(t, old[:1]) // owned since long ago
	r.setWallClock(now)
	r.service.Sweep(t.Context())
	if left := zk.Nodes("/a/streams/"); len(left) != 2+1+1 || r.service.Stats().RecordsSwept != 2 {
		t.Errorf("%d swept, left: %q", r.service.Stats().RecordsSwept, left)
	}
}

// Two relays, one token: one request goes on to the decision module, the other is rejected with a time to
// retry. The stream is the other's once it is released.
func TestOneOwnerOfTwoRelays(t *testing.T) {
	zk := newOwnershipService(t)
	a, b := newRelay(t, zk), newRelay(t, zk)
	tokens := a.newStreams(t, 1)
	first := a.resumeStreams(t, tokens)[0]
	if state := stateOf(first); state != relay.Queued {
		t.Fatalf("state %v", state)
	}
	second := b.resumeStreams(t, tokens)[0]
	_, answer := second.State()
	if answer.Kind != relay.Rejected || answer.RetryAfter <= 0 || answer.RetryAfter > 4*time.Second {
		t.Errorf("%+v", answer)
	}
	first.ClientClosed(relay.GracefulClose)
	eventually(t, "released", func() bool { return len(zk.Nodes("/a/streams/")) == 1 })
	if state := stateOf(b.resumeStreams(t, tokens)[0]); state != relay.Queued {
		t.Errorf("state %v", state)
	}
}

// A stream whose session expires before a token was given out is served on, and acquired anew; with a token
// it is ended, as another relay may have it.
func TestExpiredSessionEndsStreamsWithTokens(t *testing.T) {
	zk := newOwnershipService(t)
	r := newRelay(t, zk)
	withoutToken := r.service.NewStream(StreamRequest{Class: "m"})
	withToken := r.service.NewStream(StreamRequest{Class: "m"})
	a, b := r.openRequest(withoutToken), r.openRequest(withToken)
	eventually(t, "acquired", func() bool {
		return withoutToken.fencingToken.Load() == 1 && withToken.fencingToken.Load() == 1
	})
	withToken.IssueToken()
	zk.ExpireSessions()
	eventually(t, "ended", func() bool { return stateOf(b) == relay.Ended })
	if withToken.MayForward() || withToken.IssueToken() != "" {
		t.Error("a stream whose lease has expired is still served")
	}
	eventually(t, "acquired anew", func() bool { return withoutToken.fencingToken.Load() == 2 })
	if state := stateOf(a); state != relay.Queued || !withoutToken.MayForward() {
		t.Errorf("without a token out: state %v, may forward %v", state, withoutToken.MayForward())
	}
}

// Acquisitions do not wait for one another's replies: the service says nothing before it has all 200
// requests.
func TestAcquisitionsArePipelined(t *testing.T) {
	zk := newOwnershipService(t)
	r := newRelay(t, zk)
	tokens := r.newStreams(t, 200)
	zk.HoldAnswers(200)
	for _, q := range r.startResuming(t, tokens) {
		eventually(t, "acquired", func() bool { return stateOf(q) == relay.Queued })
	}
	if s := r.service.Stats(); s.Acquired != 400 {
		t.Errorf("%+v", s)
	}
}

// BenchmarkAcquisitions measures acquisitions a second where every reply of the service takes 1 ms, all at
// once and one by one.
func BenchmarkAcquisitions(b *testing.B) {
	const n = 2000
	zk := newOwnershipService(b)
	r := newRelay(b, zk)
	tokens := r.newStreams(b, n)
	zk.DelayAnswers(time.Millisecond)
	for _, k := range []struct {
		name string
		step int
	}{{"together", n}, {"one by one", 1}} {
		b.Run(k.name, func(b *testing.B) {
			acquired := 0
			var spent time.Duration
			for b.Loop() {
				for i := 0; i < n && (k.step > 1 || i < 200); i += k.step {
					began := time.Now()
					requests := r.resumeStreams(b, tokens[i:i+k.step])
					spent += time.Since(began)
					for _, q := range requests {
						q.ClientClosed(relay.GracefulClose)
					}
					acquired += len(requests)
					eventually(b, "released", func() bool { return len(zk.Nodes("/a/streams/")) == n })
				}
			}
			b.ReportMetric(float64(acquired)/spent.Seconds(), "claims/s")
			if s := r.service.Stats(); s.AlreadyOwned+s.TimedOut+s.ServiceUnreachable > 0 {
				b.Errorf("%+v", s)
			}
		})
	}
}
