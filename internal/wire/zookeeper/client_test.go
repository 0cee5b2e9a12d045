package zookeeper

import (
	"errors"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"capersail/internal/relay"
	"capersail/internal/testing/fake"
)

// startClient starts a Client on the path /a of zk that requests a watch every 10 ms, and returns its request
// table.
func startClient(t *testing.T, zk *fake.ZooKeeper) *relay.RequestTable {
	t.Helper()
	requests := relay.NewRequestTable(&relay.Deployment{}, relay.NewClock(), nil)
	ensemble := Ensemble{Addresses: []string{zk.Address}, Path: "/a", SessionTimeout: time.Second}
	client := NewClient(ensemble, requests, zerolog.Nop())
	go client.Run(t.Context())
	go func() {
		for t.Context().Err() == nil {
			client.Watch()
			time.Sleep(10 * time.Millisecond)
		}
	}()
	return requests
}

// awaitReady waits until the endpoint list says that a server is ready.
func awaitReady(t *testing.T, requests *relay.RequestTable, id string) {
	t.Helper()
	for until := time.Now().Add(10 * time.Second); !requests.ServerReady(id); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("server %s is not ready after 10 s, want ready", id)
		}
	}
}

// A client whose session has expired begins a new session at a service that has lost changes that the client
// has seen. Guards against a client that every replica refuses forever, so that it never reads the endpoint
// list again.
func TestClientBeginsAnewWhereEveryReplicaIsBehind(t *testing.T) {
	zk, err := fake.NewZooKeeper("/a")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(zk.Close)
	const node = `{"address":"127.0.0.1:1","state":"ready"}`
	zk.SetNode("n1", node)
	requests := startClient(t, zk)
	awaitReady(t, requests, "n1")
	zk.SetReplicaLag(1)
	zk.ExpireSessions()
	zk.SetNode("n2", node)
	zk.SetReplicaLag(2) // also behind the change made since
	awaitReady(t, requests, "n2")
}

// A client keeps lastZxid, and so accepts only replicas with all changes that it has seen, until all
// addresses have been tried for the session time-out and one has refused. Guards against an endpoint list
// that goes back to an older one.
func TestClientKeepsLastZxidUntilRefused(t *testing.T) {
	refused, unreachable := &refusedError{errors.New("EOF")}, errors.New("dial: connection refused")
	const timeout = time.Second
	for name, c := range map[string]struct {
		ends   []error // one for each half of timeout
		begins bool    // a new session without lastZxid is begun
	}{
		"expired":                 {[]error{errExpired}, false},
		"never reachable":         {[]error{unreachable, unreachable, unreachable, unreachable}, false},
		"refused too briefly":     {[]error{refused, refused}, false},
		"refused":                 {[]error{refused, refused, refused}, true},
		"refused by one of two":   {[]error{unreachable, refused, unreachable}, true},
		"expired and refused":     {[]error{errExpired, refused, refused, refused}, true},
		"refused, then expired":   {[]error{refused, refused, errExpired, refused}, false},
		"refused, then connected": {[]error{refused, refused, nil, refused}, false},
	} {
		client := &Client{Ensemble: Ensemble{Addresses: []string{"a", "b"}, SessionTimeout: timeout}}
		client.state = sessionState{sessionID: 7, password: []byte("x"), lastZxid: 5}
		for i, end := range c.ends {
			if end == nil {
				client.connectFailures = connectFailures{}
				continue
			}
			client.recordConnectionEnd(end, time.Duration(i)*timeout/2)
		}
		if begins := client.state.lastZxid == 0; begins != c.begins {
			t.Errorf("%s: lastZxid was given up: %v, want the opposite", name, begins)
		}
	}
}
