package resume

import (
	"encoding/hex"
	"maps"
	"os"
	"path"
	"slices"
	"strings"
	"testing"

	"capersail/internal/relay"
	"capersail/internal/token"
	"capersail/internal/wire/zookeeper"
)

// storedUnixMs is the time of day at which testdata was written, by the version of 2026-12-03.
const storedUnixMs = 1_800_000_000_000

// The streams of testdata: one whose token was never confirmed, one in its second generation with both tokens
// confirmed, and one that is being served.
var (
	storedFresh  = token.StreamID{0xa0, 15: 1}
	storedTwice  = token.StreamID{0xb0, 15: 2}
	storedServed = token.StreamID{0xc0, 15: 3}
)

// storedLines reads the lines of a file of testdata as pairs of words.
func storedLines(t *testing.T, name string) map[string]string {
	t.Helper()
	text, err := os.ReadFile(path.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	pairs := map[string]string{}
	for line := range strings.Lines(string(text)) {
		first, second, _ := strings.Cut(strings.TrimSpace(line), " ")
		pairs[first] = second
	}
	return pairs
}

// readNodes reads what the ownership service keeps below /a/streams, each node's data in hex by its path.
func (r *testRelay) readNodes(t *testing.T, paths []string) map[string]string {
	t.Helper()
	data := map[string]string{}
	for _, p := range paths {
		answers := make(chan zookeeper.Answer, 1)
		r.service.session.Get(p, func(a zookeeper.Answer) { answers <- a })
		a := <-answers
		if a.Code != zookeeper.OK {
			t.Fatalf("%s: code %v", p, a.Code)
		}
		data[p] = hex.EncodeToString(a.Data)
	}
	return data
}

// openNewStream opens a stream of a known id and waits for its ownership.
func (r *testRelay) openNewStream(t *testing.T, id token.StreamID) (*Stream, *relay.Request) {
	t.Helper()
	st := r.service.NewStream(StreamRequest{Class: "m", Tenant: "acme", Key: 5, Group: 6})
	st.ID = id
	call := r.openRequest(st)
	eventually(t, "acquired", func() bool { return st.fencingToken.Load() == 1 })
	return st, call
}

// writeStored lets a relay write the nodes and tokens of testdata.
func (r *testRelay) writeStored(t *testing.T) (tokens map[string]string) {
	t.Helper()
	r.setWallClock(storedUnixMs)
	tokens = map[string]string{}
	fresh, call := r.openNewStream(t, storedFresh)
	tokens["fresh-1"] = fresh.IssueToken()
	call.ClientClosed(relay.GracefulClose)
	<-fresh.released

	first, call := r.openNewStream(t, storedTwice)
	first.SetPosition(41)
	tokens["twice-1"] = first.IssueToken()
	first.ConfirmToken(1)
	call.ClientClosed(relay.GracefulClose)
	<-first.released
	second, err := r.service.ResumeStream(tokens["twice-1"], first.StreamRequest)
	if err != nil {
		t.Fatal(err)
	}
	call = r.openRequest(second)
	eventually(t, "acquired again", func() bool { return second.fencingToken.Load() == 2 })
	tokens["twice-2"] = second.IssueToken()
	second.ConfirmToken(2)
	call.ClientClosed(relay.GracefulClose)
	<-second.released

	served, _ := r.openNewStream(t, storedServed)
	tokens["served-1"] = served.IssueToken()
	return tokens
}

// The nodes that a relay writes have the paths and the bytes of an earlier version's: relays of both share
// them while a fleet is replaced.
func TestNodesAreWrittenAsBefore(t *testing.T) {
	want := storedLines(t, "nodes.txt")
	zk := newOwnershipService(t)
	r := newRelay(t, zk)
	r.writeStored(t)
	paths := zk.Nodes("/a/streams/")
	slices.Sort(paths)
	if stored := slices.Sorted(maps.Keys(want)); !slices.Equal(paths, stored) {
		t.Fatalf("nodes %q, want %q", paths, stored)
	}
	if got := r.readNodes(t, paths); !maps.Equal(got, want) {
		t.Errorf("nodes %q, want %q", got, want)
	}
}

// Streams whose records and tokens an earlier version wrote go on, and those tokens that it had made
// worthless stay so.
func TestStoredStreamsGoOn(t *testing.T) {
	zk := newOwnershipService(t)
	r := newRelay(t, zk)
	r.setWallClock(storedUnixMs)
	for p, data := range storedLines(t, "nodes.txt") {
		if strings.HasSuffix(p, "/holder") {
			continue // it went with its session
		}
		stored, err := hex.DecodeString(data)
		if err != nil {
			t.Fatal(err)
		}
		created := make(chan zookeeper.Code, 1)
		r.service.session.Create(p, stored, false, func(a zookeeper.Answer) { created <- a.Code })
		if code := <-created; code != zookeeper.OK {
			t.Fatalf("%s: code %v", p, code)
		}
	}
	tokens := storedLines(t, "tokens.txt")
	request := StreamRequest{Class: "m", Tenant: "acme", Key: 5, Group: 6}
	for _, c := range []struct {
		token        string
		stream       token.StreamID
		fencingToken uint64 // of the ownership that it begins, 0 if it is final
		from         uint64
		note         string
	}{
		{"fresh-1", storedFresh, 2, 1, ""},
		{"twice-1", storedTwice, 0, 42, NoteStaleToken},
		{"twice-2", storedTwice, 3, 42, ""},
		{"served-1", storedServed, 2, 1, ""},
	} {
		t.Run(c.token, func(t *testing.T) {
			st, err := r.service.ResumeStream(tokens[c.token], request)
			if err != nil {
				t.Fatal(err)
			}
			if st.ID != c.stream || st.FirstScan != c.from {
				t.Errorf("stream %v from %d, want %v from %d", st.ID, st.FirstScan, c.stream, c.from)
			}
			call := r.openRequest(st)
			eventually(t, "an answer", func() bool { return stateOf(call) != relay.AwaitingOwnership })
			state, answer := call.State()
			switch {
			case c.fencingToken == 0:
				if state != relay.Ended || answer.Kind != relay.Failed || answer.Note != c.note {
					t.Errorf("state %v, %+v", state, answer)
				}
			case state != relay.Queued || st.FencingToken() != c.fencingToken:
				t.Errorf("state %v, fencing token %d, want %d", state, st.FencingToken(), c.fencingToken)
			}
		})
	}
}
