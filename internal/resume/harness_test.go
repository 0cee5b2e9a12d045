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

// noopPeer is the client and the server side of every request. It accepts everything and sends nothing.
type noopPeer struct{}

func (noopPeer) StartAttempt(*relay.Request, relay.Attempt)                 {}
func (noopPeer) Probe(relay.Server, func(decide.Status, decide.LoadReport)) {}
func (noopPeer) Forward([]byte) error                                       { return nil }
func (noopPeer) Close(relay.CloseKind)                                      {}
func (noopPeer) HasUnread() bool                                            { return false }
func (noopPeer) Wake()                                                      {}

// testRelay is a Service with a request table. Its only sockets are the connections to the ownership service.
type testRelay struct {
	table   *relay.RequestTable
	service *Service
}

// newRelay returns a relay that is connected to the ownership service until the test ends.
func newRelay(t testing.TB, zk *fake.ZooKeeper) *testRelay {
	t.Helper()
	keys, err := token.NewKeyRing([]token.Key{{ID: "a", Secret: bytes.Repeat([]byte{1}, 32)}})
	if err != nil {
		t.Fatal(err)
	}
	clock := relay.NewClock()
	deployment := &relay.Deployment{
		Settings: decide.Settings{RetryAfter: true, Classes: []decide.ClassInfo{{}}},
	}
	c := Config{
		Relay:              "n",
		Servers:            []string{zk.Address},
		Path:               "/a/streams",
		SessionTimeout:     4 * time.Second,
		AcquireTimeout:     20 * time.Second,
		TokenLifetime:      time.Minute,
		TokenRenewInterval: time.Second,
		MaxClockSkew:       time.Second,
	}
	r := &testRelay{
		table:   relay.NewRequestTable(deployment, clock, noopPeer{}),
		service: New(c, keys, clock, zerolog.Nop()),
	}
	go r.service.Run(t.Context())
	eventually(t, "connected", func() bool { return r.service.ValidUntil() > clock.Now() })
	return r
}

// eventually waits for a condition, for at most a minute.
func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(60 * time.Second); !ok(); time.Sleep(200 * time.Microsecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: condition not met within 60 s", what)
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

// setWallClock stops the relay's wall clock at a Unix time in ms.
func (r *testRelay) setWallClock(unixMs int64) {
	r.service.wallNow = func() time.Time { return time.UnixMilli(unixMs) }
}

// openRequest opens the request of a stream.
func (r *testRelay) openRequest(st *Stream) *relay.Request {
	return r.table.Open(relay.RequestParams{Ownership: st, Timeout: 30 * time.Second}, noopPeer{})
}

// newStreams creates n streams, issues a token for each and releases them. It returns the tokens.
func (r *testRelay) newStreams(t testing.TB, n int) (tokens []string) {
	t.Helper()
	var requests []*relay.Request
	var streams []*Stream
	for range n {
		st := r.service.NewStream(StreamRequest{Class: "m"})
		streams = append(streams, st)
		requests = append(requests, r.openRequest(st))
	}
	eventually(t, "acquired", func() bool { return r.service.Stats().Acquired >= uint64(n) })
	for i, st := range streams {
		tokens = append(tokens, st.IssueToken())
		requests[i].ClientClosed(relay.GracefulClose)
	}
	for _, st := range streams {
		<-st.released
	}
	return tokens
}

// startResuming opens one request for each token, without waiting for the acquisitions.
func (r *testRelay) startResuming(t testing.TB, tokens []string) (requests []*relay.Request) {
	t.Helper()
	for _, text := range tokens {
		st, err := r.service.ResumeStream(text, StreamRequest{Class: "m"})
		if err != nil {
			t.Fatal(err)
		}
		requests = append(requests, r.openRequest(st))
	}
	return requests
}

// resumeStreams opens one request for each token, and waits until each is acquired or answered.
func (r *testRelay) resumeStreams(t testing.TB, tokens []string) []*relay.Request {
	t.Helper()
	requests := r.startResuming(t, tokens)
	for _, q := range requests {
		eventually(t, "an answer", func() bool { return stateOf(q) != relay.AwaitingOwnership })
	}
	return requests
}

func stateOf(q *relay.Request) relay.State {
	state, _ := q.State()
	return state
}
