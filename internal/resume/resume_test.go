package resume

import (
	"bytes"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"capersail/decide"
	"capersail/internal/relay"
	"capersail/internal/testing/fake"
	"capersail/internal/token"
)

type nobody struct{}

func (nobody) StartAttempt(*relay.Request, relay.Attempt)                 {}
func (nobody) Probe(relay.Server, func(decide.Status, decide.LoadReport)) {}
func (nobody) Forward([]byte) error                                       { return nil }
func (nobody) Close(relay.CloseKind)                                      {}
func (nobody) HasUnread() bool                                            { return false }
func (nobody) Wake()                                                      {}

// testRelay is a Service with an Exchange, without sockets but for the claim service's.
type testRelay struct {
	table   *relay.RequestTable
	service *Service
}

func newRelay(t testing.TB, zk *fake.ZooKeeper, change func(*Config)) *testRelay {
	t.Helper()
	ring, err := token.NewKeyRing([]token.Key{{ID: "a", Secret: bytes.Repeat([]byte{1}, 32)}})
	if err != nil {
		t.Fatal(err)
	}
	clock := relay.NewClock()
	site := &relay.Deployment{Settings: decide.Settings{RetryAfter: true, Classes: []decide.ClassInfo{{}}}}
	c := Config{Relay: "n", Servers: []string{zk.Address}, Path: "/a/streams", SessionTimeout: 4000, AcquireTimeout: 20_000, TokenLifetime: 60_000,
		TokenRenewInterval: 1000, MaxClockSkew: 1000}
	if change != nil {
		change(&c)
	}
	r := &testRelay{relay.NewRequestTable(site, clock, nobody{}), New(c, ring, clock, zerolog.Nop())}
	go r.service.Run(t.Context())
	eventually(t, "connected", func() bool { return r.service.ValidUntil() > clock.NowMillis() })
	return r
}

func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(60 * time.Second); !ok(); time.Sleep(200 * time.Microsecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: never", what)
		}
	}
}

func newOwnershipService(t testing.TB) *fake.ZooKeeper {
	t.Helper()
	zk, err := fake.NewZooKeeper("/")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(zk.Close)
	return zk
}

func (r *testRelay) open(st *Stream) *relay.Request {
	return r.table.Open(relay.OpenRequest{Ownership: st, Timeout: 30 * time.Second}, nobody{})
}

// newStreams makes n streams and gives them back; it returns their tokens.
func (r *testRelay) newStreams(t testing.TB, n int) (tokens []string) {
	t.Helper()
	var calls []*relay.Request
	var streams []*Stream
	for range n {
		st := r.service.NewStream(StreamRequest{Class: "m"})
		streams = append(streams, st)
		calls = append(calls, r.open(st))
	}
	eventually(t, "claimed", func() bool { return r.service.Stats().Acquired >= uint64(n) })
	for i, st := range streams {
		tokens = append(tokens, st.IssueToken())
		calls[i].ClientClosed(relay.GracefulClose)
	}
	for _, st := range streams {
		<-st.released
	}
	return tokens
}

// resumeStreams opens with tokens, all at once, and waits until each call has its claim or its answer.
func (r *testRelay) resumeStreams(t testing.TB, tokens []string) (calls []*relay.Request) {
	t.Helper()
	for _, text := range tokens {
		st, note, err := r.service.ResumeStream(text, StreamRequest{Class: "m"})
		if err != nil {
			t.Fatal(note, err)
		}
		calls = append(calls, r.open(st))
	}
	for _, c := range calls {
		eventually(t, "an answer", func() bool { state, _ := c.State(); return state != relay.AwaitingOwnership })
	}
	return calls
}

// Records whose tokens have expired are removed; those that are held, or good still, stay.
func TestSweepRemovesExpiredRecordsOnly(t *testing.T) {
	zk := newOwnershipService(t)
	now := time.Now().UnixMilli()
	r := newRelay(t, zk, nil)
	r.service.unixNow = func() int64 { return now - 10_000_000 } // long ago
	old := r.newStreams(t, 3)
	r.service.unixNow = func() int64 { return now }
	r.newStreams(t, 2)
	r.service.unixNow = func() int64 { return now - 10_000_000 }
	r.resumeStreams(t, old[:1]) // held since long ago
	r.service.unixNow = func() int64 { return now }
	r.service.Sweep(t.Context())
	if left := zk.Nodes("/a/streams/"); len(left) != 2+1+1 || r.service.Stats().Swept != 2 {
		t.Errorf("%d swept, left: %q", r.service.Stats().Swept, left)
	}
}

// Two relays, one token: one call goes on to the module, the other is told when to come. What it had is the
// other's once it is given back.
func TestOneOwnerOfTwoRelays(t *testing.T) {
	zk := newOwnershipService(t)
	a, b := newRelay(t, zk, nil), newRelay(t, zk, nil)
	tokens := a.newStreams(t, 1)
	first := a.resumeStreams(t, tokens)[0]
	if state, _ := first.State(); state != relay.Queued {
		t.Fatalf("state %v", state)
	}
	second := b.resumeStreams(t, tokens)[0]
	if _, answer := second.State(); answer.Kind != relay.Rejected || answer.RetryAfter <= 0 || answer.RetryAfter > 4*time.Second {
		t.Errorf("%+v", answer)
	}
	first.ClientClosed(relay.GracefulClose)
	eventually(t, "given back", func() bool { return len(zk.Nodes("/a/streams/")) == 1 })
	if state, _ := b.resumeStreams(t, tokens)[0].State(); state != relay.Queued {
		t.Errorf("state %v", state)
	}
}

// A stream whose session is forgotten before a token was given out is served on, and claimed anew; with a token
// it is ended.
func TestExpiredSessionEndsStreamsWithTokens(t *testing.T) {
	zk := newOwnershipService(t)
	r := newRelay(t, zk, nil)
	plain, given := r.service.NewStream(StreamRequest{Class: "m"}), r.service.NewStream(StreamRequest{Class: "m"})
	a, b := r.open(plain), r.open(given)
	eventually(t, "claimed", func() bool { return plain.fencingToken.Load() == 1 && given.fencingToken.Load() == 1 })
	given.IssueToken()
	zk.Expire()
	eventually(t, "ended", func() bool { state, _ := b.State(); return state == relay.Ended })
	if given.MayForward() || given.IssueToken() != "" {
		t.Error("a stream that has lapsed is still trusted")
	}
	eventually(t, "claimed anew", func() bool { return plain.fencingToken.Load() == 2 })
	if state, _ := a.State(); state != relay.Queued || !plain.MayForward() {
		t.Errorf("without a token out: state %v, trusted %v", state, plain.MayForward())
	}
}

// Claims of many streams do not wait for one another's answers: the service says nothing before it has all 200
// questions.
func TestAcquisitionsArePipelined(t *testing.T) {
	zk := newOwnershipService(t)
	r := newRelay(t, zk, nil)
	tokens := r.newStreams(t, 200)
	zk.Hold(200)
	var calls []*relay.Request
	for _, text := range tokens {
		st, _, err := r.service.ResumeStream(text, StreamRequest{Class: "m"})
		if err != nil {
			t.Fatal(err)
		}
		calls = append(calls, r.open(st))
	}
	for _, c := range calls {
		eventually(t, "claimed", func() bool { state, _ := c.State(); return state == relay.Queued })
	}
	if s := r.service.Stats(); s.Acquired != 400 {
		t.Errorf("%+v", s)
	}
}

// BenchmarkAcquisitions: claims a second where every answer of the service takes 1 ms, all at once and one by one.
func BenchmarkAcquisitions(b *testing.B) {
	const n = 2000
	zk := newOwnershipService(b)
	r := newRelay(b, zk, nil)
	tokens := r.newStreams(b, n)
	zk.Delay(time.Millisecond)
	for _, k := range []struct {
		name string
		step int
	}{{"together", n}, {"one by one", 1}} {
		b.Run(k.name, func(b *testing.B) {
			claims := 0
			var spent time.Duration
			for b.Loop() {
				for i := 0; i < n && (k.step > 1 || i < 200); i += k.step {
					began := time.Now()
					calls := r.resumeStreams(b, tokens[i:i+k.step])
					spent += time.Since(began)
					for _, c := range calls {
						c.ClientClosed(relay.GracefulClose)
					}
					claims += len(calls)
					eventually(b, "given back", func() bool { return len(zk.Nodes("/a/streams/")) == n })
				}
			}
			b.ReportMetric(float64(claims)/spent.Seconds(), "claims/s")
			if s := r.service.Stats(); s.AlreadyOwned+s.TimedOut+s.ServiceUnreachable > 0 {
				b.Errorf("%+v", s)
			}
		})
	}
}
