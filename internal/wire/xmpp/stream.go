package xmpp

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net"
	"strings"
	"sync"

	"capersail/internal/relay"
	"capersail/internal/wire/splice"
)

const (
	streamsNS = "http://etherx.jabber.org/streams"
	errorsNS  = "urn:ietf:params:xml:ns:xmpp-streams"
	retryNS   = "urn:capersail:retry"
	tlsNS     = "urn:ietf:params:xml:ns:xmpp-tls"

	maxQueue = 64        // items that wait for the server, or that it has not confirmed
	maxBytes = 128 << 10 // and bytes of each: a few big stanzas are as much as many small ones
)

// stream is what the two sides of one call share: the client's writing end and the queue of what the
// client sends. The server side alone takes from the queue, so no item is ever sent twice.
type stream struct {
	client *splice.Half
	open   item   // the client's start tag
	to     string // the host it asked for

	mu       sync.Mutex
	room     *sync.Cond
	queue    []item
	bytes    int // of the queue
	over     bool
	header   bool   // the client has a start tag
	final    bool   // and its one outcome
	reason   string // the stream error to end with, where the answer's kind is not enough
	features string // as the client was given them, "" if it was not
}

func newStream(e *splice.Half) *stream {
	st := &stream{client: e}
	st.room = sync.NewCond(&st.mu)
	return st
}

// push queues an item from the client, and waits while the queue is full: the client's own socket then
// holds the rest. It is false once the call is over.
func (st *stream) push(it item) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	for (len(st.queue) >= maxQueue || st.bytes >= maxBytes) && !st.over {
		st.room.Wait()
	}
	if st.over {
		return false
	}
	st.queue = append(st.queue, it)
	st.bytes += len(it.raw)
	return true
}

func (st *stream) pop() (item, bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if len(st.queue) == 0 {
		return item{}, false
	}
	it := st.queue[0]
	st.queue = st.queue[1:]
	st.bytes -= len(it.raw)
	st.room.Signal()
	return it, true
}

// because names the stream error that an outcome still to be told means. The first reason stays.
func (st *stream) because(condition string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.reason == "" {
		st.reason = condition
	}
}

// write sends whole items to the client; after its outcome nothing more.
func (st *stream) write(p []byte) error {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.final {
		return net.ErrClosed
	}
	st.header = true
	return st.client.Forward(p)
}

// greet gives the client a server's start tag and features, once. A retry's must be the same: the client
// has chosen its mechanism by the first.
func (st *stream) greet(open, features string) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.features != "" {
		return st.features == features
	}
	st.features, st.header = features, true
	return !st.final && st.client.Forward([]byte("<?xml version='1.0'?>"+open+features)) == nil
}

// finish gives the client its one outcome: the end of the stream, after a stream error if one is named.
func (st *stream) finish(condition, more string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.final {
		return
	}
	st.final, st.over = true, true
	st.room.Broadcast()
	var b strings.Builder
	if !st.header {
		fmt.Fprintf(&b, "<?xml version='1.0'?>%s", startTag(st.to))
	}
	if condition != "" {
		fmt.Fprintf(&b, "<stream:error><%s xmlns='%s'/>%s</stream:error>", condition, errorsNS, more)
	}
	b.WriteString("</stream:stream>")
	st.client.Forward([]byte(b.String()))
}

// wait returns once the call is over.
func (st *stream) wait() {
	st.mu.Lock()
	defer st.mu.Unlock()
	for !st.over {
		st.room.Wait()
	}
}

// leave frees whoever waits.
func (st *stream) leave() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.over = true
	st.room.Broadcast()
}

// startTag is the relay's own, where no server's has come.
func startTag(from string) string {
	id := make([]byte, 8)
	rand.Read(id)
	return fmt.Sprintf("<stream:stream from='%s' id='%s' version='1.0' xml:lang='en' xmlns='jabber:client' xmlns:stream='%s'>",
		escape(from), hex.EncodeToString(id), streamsNS)
}

// escape makes text that stood in one kind of quotes fit for single ones. It was scanned before, so what
// other escapes it holds stay as they are.
func escape(text string) string { return strings.NewReplacer("'", "&apos;", "<", "&lt;").Replace(text) }

// bounce is the error that answers a stanza which no server will take, or "" where none may be sent: an
// error is never answered, nor a reply.
func bounce(it item) string {
	if it.kind != element || it.attrs["type"] == "error" || it.attrs["type"] == "result" {
		return ""
	}
	if it.name != "message" && it.name != "presence" && it.name != "iq" {
		return ""
	}
	var b strings.Builder
	fmt.Fprintf(&b, "<%s type='error'", it.name)
	for _, a := range [][2]string{{"id", "id"}, {"from", "to"}, {"to", "from"}} {
		if v := it.attrs[a[1]]; v != "" {
			fmt.Fprintf(&b, " %s='%s'", a[0], escape(v))
		}
	}
	fmt.Fprintf(&b, "><error type='wait'><remote-server-timeout xmlns='urn:ietf:params:xml:ns:xmpp-stanzas'/></error></%s>", it.name)
	return b.String()
}

// reader reads items from a connection. A read that a deadline cuts short loses nothing.
type reader struct {
	conn  net.Conn
	scan  scanner
	items []item
	buf   []byte
	err   error // of the scanner; it comes after the items before it
}

func newReader(conn net.Conn) *reader { return &reader{conn: conn, buf: make([]byte, 4096)} }

func (r *reader) next() (item, error) {
	for len(r.items) == 0 {
		if r.err != nil {
			return item{}, r.err
		}
		n, err := r.conn.Read(r.buf)
		r.items, r.err = r.scan.feed(r.buf[:n])
		if err != nil && len(r.items) == 0 && r.err == nil {
			return item{}, err
		}
	}
	it := r.items[0]
	r.items = r.items[1:]
	return it, nil
}

// idle tells whether everything that was read has been taken, as before a TLS handshake it must be.
func (r *reader) idle() bool { return len(r.items) == 0 && len(r.scan.buf) == 0 && r.err == nil }

// ours tells the scanner's refusals from a broken connection.
func ours(err error) bool { return err == errNotWellFormed || err == errRestricted || err == errTooBig }

// clientEnd is the client's end as the Exchange knows it. Its wake says that the call is over, which a
// client side that waits for room in the queue must hear too.
type clientEnd struct {
	*splice.Half
	st *stream
}

// Wake frees the client side to write the answer.
func (c clientEnd) Wake() {
	c.st.leave()
	c.Half.Wake()
}

// HasUnread is the client's end only: it may say something at any time.
func (c clientEnd) HasUnread() bool { return c.Half.PeerClosed() }

var _ relay.ClientConn = clientEnd{}
