package platform

import (
	"fmt"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"capersail/decide"
	"capersail/internal/relay"
	"capersail/internal/wire/connlimit"
	"capersail/internal/wire/splice"
)

// attemptCatcher is a relay.ServerDialer that leaves attempts to the test.
type attemptCatcher struct{ caught relay.Attempt }

func (c *attemptCatcher) StartAttempt(_ *relay.Request, a relay.Attempt) { c.caught = a }

func (c *attemptCatcher) Probe(relay.Server, func(decide.Status, decide.LoadReport)) {}

// pipedRequest is an established request between a client and a server that the test plays, over connections
// without buffers. It must be used in a synctest bubble.
type pipedRequest struct {
	request  *relay.Request
	client   net.Conn
	server   net.Conn
	received chan string // all that the client has received, once its connection has ended
}

// newPipedRequest starts both sides of the relay. The client reads until its connection ends.
func newPipedRequest(t *testing.T) *pipedRequest {
	clock := relay.NewClock()
	catcher := &attemptCatcher{}
	table := relay.NewRequestTable(newDeployment(decide.ClassInfo{Deadline: time.Minute}), clock, catcher)
	table.UpdateEndpoints(decide.Snapshot, []relay.Endpoint{{ID: "s", State: decide.Ready}})
	client, clientEnd := net.Pipe()
	server, serverEnd := net.Pipe()
	half := &splice.Conn{NetConn: clientEnd, Clock: clock}
	request := table.Resume(relay.RequestParams{Timeout: time.Minute, Payload: &opening{}}, "s", half)
	current := &attempt{
		Attempt: splice.Attempt{
			Attempt: catcher.caught,
			Request: request,
			Conn:    &splice.Conn{NetConn: serverEnd, Clock: clock},
		},
		dialer: &ServerDialer{Clock: clock},
		lines:  newLineReader(serverEnd),
	}
	if !request.Attach(0, current.Conn) || !request.BeginWrite(0) {
		t.Fatal("the attempt was not started")
	}
	frontend := &Frontend{Limiter: connlimit.New(clock, 1, zerolog.Nop())}
	go func() {
		frontend.forwardFromClient(request, half, newLineReader(clientEnd))
		clientEnd.Close()
	}()
	go func() {
		status, report := current.forwardToClient([]byte("UP 1\n"))
		serverEnd.Close()
		request.EndAttempt(0, status, report)
	}()
	p := &pipedRequest{request: request, client: client, server: server, received: make(chan string, 1)}
	go func() {
		all, _ := io.ReadAll(client)
		p.received <- string(all)
	}()
	return p
}

// close ends the request from both peers, so that no goroutine of the relay is left in the bubble.
func (p *pipedRequest) close() {
	p.client.Close()
	p.server.Close()
	synctest.Wait()
}

// A write to a server that does not read times out in the middle of a line, while the server's side of the
// connection sees no error. The client must be migrated then: what it sent next followed the partial line,
// and the server took both for one.
func TestServerThatDoesNotReadLosesItsClient(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPipedRequest(t)
		defer p.close()
		synctest.Wait()
		fmt.Fprint(p.client, "first line\n")
		select {
		case got := <-p.received:
			if want := "UP 1\n" + string(encodeLine(wordMigrate)); got != want {
				t.Errorf("client of a server that does not read got %q, want %q", got, want)
			}
		case <-time.After(2 * splice.WriteTimeout):
			t.Error("the client of a server that does not read is still there, want it migrated")
		}
	})
}

// A client that has got its server's BYE or MOVE has its outcome. A migration that began before the server
// closed the connection added a MOVE of the relay.
func TestMigrationAddsNothingToTheServersEnd(t *testing.T) {
	for _, end := range []string{"BYE\r\n", "MOVE\r\n"} {
		synctest.Test(t, func(t *testing.T) {
			p := newPipedRequest(t)
			defer p.close()
			fmt.Fprint(p.server, end)
			synctest.Wait()
			p.request.MigrateClient()
			synctest.Wait()
			select {
			case got := <-p.received:
				if want := "UP 1\n" + end; got != want {
					t.Errorf("client whose server ended its connection got %q, want %q", got, want)
				}
			default:
				t.Errorf("the client's connection is open after %q and a migration, want it closed", end)
			}
		})
	}
}
