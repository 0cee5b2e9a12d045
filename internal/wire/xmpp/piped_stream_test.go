package xmpp

import (
	"encoding/xml"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
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

// pipedStream is a stream between a client and a server that the test plays, over connections
// without buffers: a write blocks until the peer has read it. It must be used in a synctest bubble.
type pipedStream struct {
	t       *testing.T
	client  *peer
	server  *peer
	request *relay.Request
	limiter *connlimit.Limiter
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
	p, current := newPipedAttempt(t)
	current.reader = newItemReader(current.Conn.NetConn, maxItemBytes)
	current.reader.scanner.next([]byte(encodeHeader("s")))
	if p.request.Establish(0) == nil {
		t.Fatal("the attempt was not established")
	}
	go p.runServerSide(current, current.forwardStanzas)
	return p
}

// newPipedHandshake starts both sides of the relay on a stream whose server has been connected.
func newPipedHandshake(t *testing.T) *pipedStream {
	p, current := newPipedAttempt(t)
	go p.runServerSide(current, func() decide.Status {
		status, _ := current.runProtocol()
		return status
	})
	return p
}

// newPipedAttempt starts the client side of the relay. It returns the attempt, which has its connection.
func newPipedAttempt(t *testing.T) (*pipedStream, *attempt) {
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
	limiter := connlimit.New(clock, 1, zerolog.Nop())
	permit := limiter.Admit(clientEnd)
	st := newStream(permit.Conn, permit.Buffers)
	st.clientHeader.raw = []byte(encodeClientHeader("s"))
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
	}
	if !request.Attach(0, current.Conn) || !request.BeginWrite(0) {
		t.Fatal("the attempt was not started")
	}
	p := &pipedStream{
		t:       t,
		client:  newPeer(client),
		server:  newPeer(server),
		request: request,
		limiter: limiter,
		began:   time.Now(),
		status:  make(chan decide.Status, 1),
	}
	go p.runClientSide(&Frontend{Limiter: limiter}, permit, st)
	return p, current
}

// runClientSide does what Frontend.serveClient does once the request is open.
func (p *pipedStream) runClientSide(f *Frontend, permit *connlimit.Permit, st *stream) {
	reader := newClientReader(permit, permit.Conn.NetConn)
	reader.scanner.maxBytes = maxItemBytes
	reader.scanner.next([]byte(encodeClientHeader("s")))
	f.forwardFromClient(p.request, st, reader)
	st.client.NetConn.Close()
}

// runServerSide does what splice.Attempt.Run does once the server is connected. protocol runs the attempt
// until it is over.
func (p *pipedStream) runServerSide(a *attempt, protocol func() decide.Status) {
	status := protocol()
	a.Conn.NetConn.Close()
	p.request.EndAttempt(0, status, decide.NoLoadReport)
	p.status <- status
}

// peer is an end of a stream that a test plays.
type peer struct {
	conn   net.Conn
	outbox chan string   // texts to be written, so that a peer that reads never waits for its own writes
	done   chan struct{} // closed by close

	mu       sync.Mutex
	received []xml.StartElement
	ended    bool // the stream's end tag or the connection's end has been read
}

// maxOutbox is how many texts a peer may have to write.
const maxOutbox = 1000

// newPeer returns a peer that writes what is sent, and reads nothing before readAll.
func newPeer(conn net.Conn) *peer {
	p := &peer{conn: conn, outbox: make(chan string, maxOutbox), done: make(chan struct{})}
	go func() {
		for {
			select {
			case text := <-p.outbox:
				io.WriteString(conn, text) // fails once the connection is closed
			case <-p.done:
				return
			}
		}
	}()
	return p
}

// send writes a text after those sent before, without waiting for it.
func (p *peer) send(format string, args ...any) { p.outbox <- fmt.Sprintf(format, args...) }

// sendEvery sends a number of texts, one at each interval.
func (p *peer) sendEvery(interval time.Duration, count int, text func(i int) string) {
	go func() {
		for i := range count {
			p.send("%s", text(i))
			select {
			case <-time.After(interval):
			case <-p.done:
				return
			}
		}
	}()
}

// close closes the connection.
func (p *peer) close() {
	close(p.done)
	p.conn.Close()
}

// readAll makes the peer read until the stream ends, and calls handle, which may be nil, with each element.
func (p *peer) readAll(handle func(xml.StartElement)) {
	go func() {
		decoder := xml.NewDecoder(io.MultiReader(strings.NewReader(encodeHeader("s")), p.conn))
		for {
			token, err := decoder.Token()
			if _, end := token.(xml.EndElement); end || err != nil {
				p.mu.Lock()
				p.ended = true
				p.mu.Unlock()
				return
			}
			start, ok := token.(xml.StartElement)
			if !ok || start.Name.Local == "stream" {
				continue
			}
			decoder.Skip()
			p.mu.Lock()
			p.received = append(p.received, start)
			p.mu.Unlock()
			if handle != nil {
				handle(start)
			}
		}
	}()
}

// count returns how many elements with a name, type and id were received; "" stands for any.
func (p *peer) count(name, kind, id string) (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.received {
		matches := (name == "" || e.Name.Local == name) &&
			(kind == "" || elementAttribute(e, "type") == kind) && (id == "" || elementAttribute(e, "id") == id)
		if matches {
			n++
		}
	}
	return n
}

// hasEnded reports whether the peer has read the end of the stream or of its connection.
func (p *peer) hasEnded() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

func elementAttribute(e xml.StartElement, name string) string {
	for _, a := range e.Attr {
		if a.Name.Local == name {
			return a.Value
		}
	}
	return ""
}

// isPing reports whether an element is a ping of the relay.
func isPing(e xml.StartElement) bool {
	return strings.HasPrefix(elementAttribute(e, "id"), "capersail-")
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
	p.client.close()
	p.server.close()
	synctest.Wait()
}
