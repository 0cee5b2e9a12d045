package resume

import (
	"testing"
	"time"

	"capersail/internal/relay"
)

// A sweep removes records whose tokens have expired. Records of owned streams and records with valid tokens
// stay.
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
	r.resumeStreams(t, old[:1]) // owned, with an expired record
	r.setWallClock(now)
	r.service.Sweep(t.Context())
	if left := zk.Nodes("/a/streams/"); len(left) != 2+1+1 || r.service.Stats().RecordsSwept != 2 {
		t.Errorf("%d records swept, want 2; nodes left: %q, want 4", r.service.Stats().RecordsSwept, left)
	}
}

// Guards against two relays that own one stream at the same time. Of two requests with the same token, the
// first is queued and the second is rejected with a retry time. After the release the second relay can
// acquire the stream.
func TestOneOwnerOfTwoRelays(t *testing.T) {
	zk := newOwnershipService(t)
	a, b := newRelay(t, zk), newRelay(t, zk)
	tokens := a.newStreams(t, 1)
	first := a.resumeStreams(t, tokens)[0]
	if state := stateOf(first); state != relay.Queued {
		t.Fatalf("request at the first relay is in state %v, want Queued", state)
	}
	second := b.resumeStreams(t, tokens)[0]
	_, answer := second.State()
	if answer.Kind != relay.Rejected || answer.RetryAfter <= 0 || answer.RetryAfter > 4*time.Second {
		t.Errorf("answer of the second relay is %+v, want Rejected with RetryAfter of up to 4 s", answer)
	}
	first.ClientClosed(relay.GracefulClose)
	eventually(t, "released", func() bool { return len(zk.Nodes("/a/streams/")) == 1 })
	if state := stateOf(b.resumeStreams(t, tokens)[0]); state != relay.Queued {
		t.Errorf("request after the release is in state %v, want Queued", state)
	}
}

// When the session expires, a stream without an issued token is still served and is acquired again. A stream
// with an issued token ends, as another relay may have acquired it.
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
		t.Error("a stream with an issued token is still served after its session expired")
	}
	eventually(t, "acquired again", func() bool { return withoutToken.fencingToken.Load() == 2 })
	if state := stateOf(a); state != relay.Queued || !withoutToken.MayForward() {
		t.Errorf("stream without an issued token: state %v, want Queued; may forward %v, want true", state,
			withoutToken.MayForward())
	}
}

// Acquisitions do not wait for each other's replies. The ownership service holds all answers back until it
// has received 200 requests, so acquisitions that wait for each other would never finish.
func TestAcquisitionsArePipelined(t *testing.T) {
	zk := newOwnershipService(t)
	r := newRelay(t, zk)
	tokens := r.newStreams(t, 200)
	zk.HoldAnswers(200)
	for _, q := range r.startResuming(t, tokens) {
		eventually(t, "acquired", func() bool { return stateOf(q) == relay.Queued })
	}
	if s := r.service.Stats(); s.Acquired != 400 {
		t.Errorf("got stats %+v, want 400 acquired", s)
	}
}

// BenchmarkAcquisitions measures acquisitions per second with a service that takes 1 ms for each reply, for
// all streams at once and one by one.
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
				b.Errorf("stats %+v, want no rejections", s)
			}
		})
	}
}
