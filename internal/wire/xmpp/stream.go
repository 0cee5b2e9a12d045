package xmpp

import (
	"fmt"
	"net"
	"strings"
	"sync"

	"capersail/internal/relay"
	"capersail/internal/wire/splice"
)

// streamCondition returns the condition to end with, noCondition if none was set.
func (st *stream) streamCondition() condition {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.condition
}

const (
	maxQueuedItems = 64        // that wait for the server, or that it has not confirmed
	maxQueuedBytes = 128 << 10 // of each: a few big stanzas are as much as many small ones
)

// stream is what the two sides of one request share: the client's writing end and the queue of what the
// client sends. The server side alone takes from the queue, so no item is ever sent twice.
type stream struct {
	client       *splice.Conn
	clientHeader item   // the client's start tag
	host         string // the host it asked for

	mu          sync.Mutex // guards what follows
	changed     *sync.Cond // signalled as the queue shrinks or the stream ends
	queue       []item
	queuedBytes int
	ended       bool
	headerSent  bool      // the client has a start tag
	outcomeSent bool      // the client has its one outcome
	condition   condition // to end with, where the answer's kind is not enough
	features    string    // as the client was sent them, "" if it was not
}

func newStream(client *splice.Conn) *stream {
	st := &stream{client: client}
	st.changed = sync.NewCond(&st.mu)
	return st
}

// push queues an item from the client, and waits while the queue is full: the client's own socket then
// holds the rest. It is false once the stream has ended.
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

// pop takes the oldest item of the queue, if there is one.
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

// setCondition sets the condition of an outcome that is still to be sent. The first stays.
func (st *stream) setCondition(c condition) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.condition == noCondition {
		st.condition = c
	}
}

// write sends complete items to the client; after its outcome nothing more.
func (st *stream) write(p []byte) error {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.outcomeSent {
		return net.ErrClosed
	}
	st.headerSent = true
	return st.client.Forward(p)
}

// sendFeatures sends the client a server's start tag and features, once. A retry's must be the same, or it
// returns false: the client has chosen its mechanism by the first.
func (st *stream) sendFeatures(header, features string) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.features != "" {
		return st.features == features
	}
	st.features, st.headerSent = features, true
	return !st.outcomeSent && st.client.Forward([]byte(xmlDeclaration+header+features)) == nil
}

// sendOutcome sends the client its one outcome: the end of the stream, after a stream error, with a child
// more, if there is a condition.
func (st *stream) sendOutcome(c condition, more string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.outcomeSent {
		return
	}
	st.outcomeSent, st.ended = true, true
	st.changed.Broadcast()
	var b strings.Builder
	if !st.headerSent {
		b.WriteString(xmlDeclaration + encodeHeader(st.host))
	}
	if c != noCondition {
		fmt.Fprintf(&b, "<stream:error><%s xmlns='%s'/>%s</stream:error>", c, errorsNamespace, more)
	}
	b.WriteString(streamEndTag)
	st.client.Forward([]byte(b.String()))
}

// awaitEnd returns once the stream has ended.
func (st *stream) awaitEnd() {
	st.mu.Lock()
	defer st.mu.Unlock()
	for !st.ended {
		st.changed.Wait()
	}
}

// markEnded ends the stream for whoever waits.
func (st *stream) markEnded() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.ended = true
	st.changed.Broadcast()
}

// clientHalf is the client's end as the request table knows it. Its wake says that the request is over, which
// a client side that waits for space in the queue must be notified of too.
type clientHalf struct {
	*splice.Conn
	stream *stream
}

// Wake lets the client side write the answer.
func (c clientHalf) Wake() {
	c.stream.markEnded()
	c.Conn.Wake()
}

// HasUnread tells of the client's end only: it may send something at any time.
func (c clientHalf) HasUnread() bool { return c.Conn.PeerClosed() }

var _ relay.ClientConn = clientHalf{}
