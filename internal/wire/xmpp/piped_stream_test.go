package xmpp

import (
	"bytes"
	"encoding/xml"
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

const testSilenceTimeout = 5 * time.Second

// pipedStream is an established stream between a client and a server that the test plays, over connections
// without buffers: a write blocks until the peer has read it. It must be used in a synctest bubble.
type pipedStream struct {
	t       *testing.T
	client  net.Conn
	server  net.Conn
	request *relay.Request
	began   time.Time
	// status receives the status of the attempt when it ends.
	status chan decide.Status
}

// attemptCatcher is a relay.ServerDialer that leaves attempts to the test.
type attemptCatcher struct{ caught relay.Attempt }

func (c *attemptCatcher) StartAttempt(_ *relay.Request, a relay.Attempt) { c.caught = a }

func (c *attemptCatcher) Probe(relay.Server, func(decide.Status, decide.LoadReport)) {}

// newPipedStream starts both sides of the relay on an established stream.
func newPipedStream(t *testing.T) *pipedStream {
	clock := relay.NewClock()
	deployment := &relay.Deployment{Settings: decide.Settings{
		MaxAttempts: 1,
		Classes:     []decide.ClassInfo{{Deadline: time.Minute}},
	}}
	catcher := &attemptCatcher{}
	table := relay.NewRequestTable(deployment, clock, catcher)
	table.UpdateEndpoints(decide.Snapshot, []relay.Endpoint{{ID: "s", State: decide.Ready}})
	client, clientEnd := net.Pipe()
	server, serverEnd := net.Pipe()
	st := newStream(&splice.Conn{NetConn: clientEnd, Clock: clock})
	params := relay.RequestParams{Timeout: time.Minute, Payload: st}
	request := table.Resume(params, "s", clientHalf{st.client, st})
	current := &attempt{
		Attempt: splice.Attempt{
			Attempt: catcher.caught,
			Request: request,
			Conn:    &splice.Conn{NetConn: serverEnd, Clock: clock},
		},
		dialer: &ServerDialer{Clock: clock, SilenceTimeout: testSilenceTimeout},
		stream: st,
		reader: newItemReader(serverEnd),
	}
	current.reader.scanner.feed([]byte(encodeHeader("s")))
	if !request.Attach(0, current.Conn) || !request.BeginWrite(0) || request.Establish(0) == nil {
		t.Fatal("the attempt was not established")
	}
	p := &pipedStream{
		t: t, client: client, server: server, request: request,
		began:  time.Now(),
		status: make(chan decide.Status, 1),
	}
	go p.runClientSide(&Frontend{Limiter: connlimit.New(clock, 1, zerolog.Nop())}, st)
	go p.runServerSide(current)
	return p
}

// runClientSide does what Frontend.serveClient does once the request is open.
func (p *pipedStream) runClientSide(f *Frontend, st *stream) {
	reader := newItemReader(st.client.NetConn)
	reader.scanner.feed([]byte(encodeClientHeader("s")))
	f.forwardFromClient(p.request, st, reader)
	st.client.NetConn.Close()
}

// runServerSide does what splice.Attempt.Run does once the server is connected.
func (p *pipedStream) runServerSide(a *attempt) {
	status := a.forwardStanzas()
	a.Conn.NetConn.Close()
	p.request.EndAttempt(0, status, decide.NoLoadReport)
	p.status <- status
}

// peer is an end of a stream that a test plays. It reads all that comes, and notes the elements.
type peer struct {
	t        *testing.T
	conn     net.Conn
	received []xml.StartElement
	ended    bool // the stream's end tag or the connection's end has been read
}

// readAll makes a peer read a connection until it ends, and calls handle with each element.
func readAll(t *testing.T, conn net.Conn, handle func(*peer, xml.StartElement)) *peer {
	p := &peer{t: t, conn: conn}
	go func() {
		in := io.MultiReader(bytes.NewReader([]byte(encodeHeader("s"))), conn)
		decoder := xml.NewDecoder(in)
		for {
			token, err := decoder.Token()
			if _, end := token.(xml.EndElement); end || err != nil {
				p.ended = true
				return
			}
			start, ok := token.(xml.StartElement)
			if !ok || start.Name.Local == "stream" {
				continue
			}
			decoder.Skip()
			p.received = append(p.received, start)
			if handle != nil {
				handle(p, start)
			}
		}
	}()
	return p
}

// count returns how many elements with a name, type and id were received; "" stands for any.
func (p *peer) count(name, kind, id string) (n int) {
	for _, e := range p.received {
		matches := (name == "" || e.Name.Local == name) &&
			(kind == "" || attributeOf(e, "type") == kind) && (id == "" || attributeOf(e, "id") == id)
		if matches {
			n++
		}
	}
	return n
}

func attributeOf(e xml.StartElement, name string) string {
	for _, a := range e.Attr {
		if a.Name.Local == name {
			return a.Value
		}
	}
	return ""
}

// isPing reports whether an element is a ping of the relay.
func isPing(e xml.StartElement) bool {
	id := attributeOf(e, "id")
	return len(id) > len("capersail-") && id[:len("capersail-")] == "capersail-"
}

// pass lets time pass on the bubble's clock until both sides of the relay wait.
func pass(d time.Duration) {
	<-time.After(d)
	synctest.Wait()
}

// checkEnded checks that the attempt has ended with a status and that both sides have finished.
func (p *pipedStream) checkEnded(want decide.Status) {
	p.t.Helper()
	select {
	case got := <-p.status:
		if got != want {
			p.t.Errorf("got attempt status %v, want %v", got, want)
		}
	default:
		p.t.Errorf("the attempt is in flight after %v, want status %v", time.Since(p.began), want)
	}
	select {
	case <-p.request.BothSidesDone():
	default:
		p.t.Errorf("a side has not finished after %v", time.Since(p.began))
	}
}

// close ends the stream from both peers, so that no goroutine of the relay is left in the bubble.
func (p *pipedStream) close() {
	p.client.Close()
	p.server.Close()
	synctest.Wait()
}
