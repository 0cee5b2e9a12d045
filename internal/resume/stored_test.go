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

// storedUnixMs is the Unix time in ms at which the version of 2026-12-03 wrote the files in testdata.
const storedUnixMs = 1_800_000_000_000

// The streams in testdata: one whose token was never confirmed, one that was acquired twice with both tokens
// confirmed, and one that is still owned.
var (
	storedFresh  = token.StreamID{0xa0, 15: 1}
	storedTwice  = token.StreamID{0xb0, 15: 2}
	storedServed = token.StreamID{0xc0, 15: 3}
)

// storedLines reads the lines of a file in testdata as pairs of words.
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

// readNodes reads nodes from the ownership service, and returns each node's data in hex by its path.
func (r *testRelay) readNodes(t *testing.T, paths []string) map[string]string {
	t.Helper()
	data := map[string]string{}
	for _, p := range paths {
		answers := make(chan zookeeper.Answer, 1)
		r.service.session.Get(p, func(a zookeeper.Answer) { answers <- a })
		a := <-answers
		if a.Code != zookeeper.OK {
			t.Fatalf("node %s: got code %v, want OK", p, a.Code)
		}
		data[p] = hex.EncodeToString(a.Data)
	}
	return data
}

// openNewStream opens a new stream with the given id and waits until it is acquired.
func (r *testRelay) openNewStream(t *testing.T, id token.StreamID) (*Stream, *relay.Request) {
	t.Helper()
	st := r.service.NewStream(StreamRequest{Class: "m", Tenant: "acme", Key: 5, Group: 6})
	st.ID = id
	call := r.openRequest(st)
	eventually(t, "acquired", func() bool { return st.fencingToken.Load() == 1 })
	return st, call
}

// writeStored lets a relay write the same nodes as in testdata, and returns the tokens that it issued.
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

// Guards against a change of the node paths or the record encoding. Relays of two versions share the nodes
// during an upgrade, so the paths and the bytes must be the same as those of the earlier version.
func TestNodesAreWrittenAsBefore(t *testing.T) {
	want := storedLines(t, "nodes.txt")
	zk := newOwnershipService(t)
	r := newRelay(t, zk)
	r.writeStored(t)
	paths := zk.Nodes("/a/streams/")
	slices.Sort(paths)
	if stored := slices.Sorted(maps.Keys(want)); !slices.Equal(paths, stored) {
		t.Fatalf("got node paths %q, want %q", paths, stored)
	}
	if got := r.readNodes(t, paths); !maps.Equal(got, want) {
		t.Errorf("got node data %q, want %q", got, want)
	}
}

// Streams with records and tokens from an earlier version can be resumed, and tokens that were stale there
// stay stale.
func TestStoredStreamsCanBeResumed(t *testing.T) {
	zk := newOwnershipService(t)
	r := newRelay(t, zk)
	r.setWallClock(storedUnixMs)
	for p, data := range storedLines(t, "nodes.txt") {
		if strings.HasSuffix(p, "/holder") {
			continue // an ephemeral node, deleted with its session
		}
		stored, err := hex.DecodeString(data)
		if err != nil {
			t.Fatal(err)
		}
		created := make(chan zookeeper.Code, 1)
		r.service.session.Create(p, stored, false, func(a zookeeper.Answer) { created <- a.Code })
		if code := <-created; code != zookeeper.OK {
			t.Fatalf("node %s: got code %v, want OK", p, code)
		}
	}
	tokens := storedLines(t, "tokens.txt")
	request := StreamRequest{Class: "m", Tenant: "acme", Key: 5, Group: 6}
	for _, c := range []struct {
		token        string
		stream       token.StreamID
		fencingToken uint64 // of the new ownership; 0 if the token is rejected for good
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
				t.Errorf("got stream %v from scan %d, want %v from scan %d", st.ID, st.FirstScan, c.stream,
					c.from)
			}
			call := r.openRequest(st)
			eventually(t, "an answer", func() bool { return stateOf(call) != relay.AwaitingOwnership })
			state, answer := call.State()
			switch {
			case c.fencingToken == 0:
				if state != relay.Ended || answer.Kind != relay.Failed || answer.Note != c.note {
					t.Errorf("got state %v, answer %+v; want Ended, Failed and the note of this case", state,
						answer)
				}
			case state != relay.Queued || st.FencingToken() != c.fencingToken:
				t.Errorf("state %v, want Queued; fencing token %d, want %d", state, st.FencingToken(),
					c.fencingToken)
			}
		})
	}
}
