package xmpp

import (
	"fmt"
	"net"
	"strings"
	"sync"

	"capersail/internal/relay"
	"capersail/internal/wire/splice"
)

func (st *stream) streamCondition() string {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.condition
}

const (
	streamsNamespace = "http://etherx.jabber.org/streams"
	errorsNamespace  = "urn:ietf:params:xml:ns:xmpp-streams"
	retryNamespace   = "urn:capersail:retry"
	tlsNamespace     = "urn:ietf:params:xml:ns:xmpp-tls"

	maxQueuedItems = 64        // items that wait for the server, or that it has not confirmed
	maxQueuedBytes = 128 << 10 // and bytes of each: a few big stanzas are as much as many small ones
)

// stream is what the two sides of one call share: the client's writing end and the queue of what the
// client sends. The server side alone takes from the queue, so no item is ever sent twice.
type stream struct {
	client       *splice.Half
	clientHeader item   // the client's start tag
	host         string // the host it asked for

	mu          sync.Mutex
	changed     *sync.Cond
	queue       []item
	queuedBytes int // of the queue
	ended       bool
	headerSent  bool   // the client has a start tag
	outcomeSent bool   // and its one outcome
	condition   string // the stream error to end with, where the answer's kind is not enough
	features    string // as the client was given them, "" if it was not
}

func newStream(e *splice.Half) *stream {
	st := &stream{client: e}
	st.changed = sync.NewCond(&st.mu)
	return st
}

// push queues an item from the client, and waits while the queue is full: the client's own socket then
// holds the rest. It is false once the call is over.
func (st *stream) push(it item) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	for (len(st.queue) >= maxQueuedItems || st.queuedBytes >= maxQueuedBytes) && !st.ended {
		st.changed.Wait()
	}
	if st.ended {
		return false
	}
	st.queue = append(st.queue, it)
	st.queuedBytes += len(it.raw)
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
	st.queuedBytes -= len(it.raw)
	st.changed.Signal()
	return it, true
}

// setCondition names the stream error that an outcome still to be told means. The first reason stays.
func (st *stream) setCondition(condition string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.condition == "" {
		st.condition = condition
	}
}

// write sends whole items to the client; after its outcome nothing more.
func (st *stream) write(p []byte) error {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.outcomeSent {
		return net.ErrClosed
	}
	st.headerSent = true
	return st.client.Forward(p)
}

// sendFeatures gives the client a server's start tag and features, once. A retry's must be the same: the client
// has chosen its mechanism by the first.
func (st *stream) sendFeatures(open, features string) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.features != "" {
		return st.features == features
	}
	st.features, st.headerSent = features, true
	return !st.outcomeSent && st.client.Forward([]byte("<?xml version='1.0'?>"+open+features)) == nil
}

// sendOutcome gives the client its one outcome: the end of the stream, after a stream error if one is named.
func (st *stream) sendOutcome(condition, more string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.outcomeSent {
		return
	}
	st.outcomeSent, st.ended = true, true
	st.changed.Broadcast()
	var b strings.Builder
	if !st.headerSent {
		fmt.Fprintf(&b, "<?xml version='1.0'?>%s", encodeHeader(st.host))
	}
	if condition != "" {
		fmt.Fprintf(&b, "<stream:error><%s xmlns='%s'/>%s</stream:error>", condition, errorsNamespace, more)
	}
	b.WriteString("</stream:stream>")
	st.client.Forward([]byte(b.String()))
}

// awaitEnd returns once the call is over.
func (st *stream) awaitEnd() {
	st.mu.Lock()
	defer st.mu.Unlock()
	for !st.ended {
		st.changed.Wait()
	}
}

// markEnded frees whoever waits.
func (st *stream) markEnded() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.ended = true
	st.changed.Broadcast()
}

// clientHalf is the client's end as the Exchange knows it. Its wake says that the call is over, which a
// client side that waits for room in the queue must hear too.
type clientHalf struct {
	*splice.Half
	stream *stream
}

// Wake frees the client side to write the answer.
func (c clientHalf) Wake() {
	c.stream.markEnded()
	c.Half.Wake()
}

// HasUnread is the client's end only: it may say something at any time.
func (c clientHalf) HasUnread() bool { return c.Half.PeerClosed() }

var _ relay.ClientConn = clientHalf{}
