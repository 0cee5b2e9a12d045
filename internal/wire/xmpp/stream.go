package xmpp

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"capersail/internal/relay"
	"capersail/internal/wire/connlimit"
	"capersail/internal/wire/splice"
)

// streamCondition returns the condition set by setCondition, or noCondition.
func (st *stream) streamCondition() condition {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.condition
}

const (
	maxQueuedItems = 64        // limit of items in the queue, and of unconfirmed items
	maxQueuedBytes = 128 << 10 // limit of bytes for each of them, as stanzas differ in size
)

// stream is the state that the two sides of one request share: writing to the client, and the queue of items
// that the client has sent. Only the server side removes items from the queue, so no item is sent twice.
type stream struct {
	client       *splice.Conn
	account      *connlimit.BufferAccount // of what the client has sent and no server has confirmed
	clientHeader item                     // the client's latest start tag
	host         string                   // the host that the start tag names

	// writeMu makes each write to the client complete before the next. It may be held for as long as a write
	// takes, and is locked before mu.
	writeMu     sync.Mutex
	headerSent  bool   // a start tag has been sent to the client; guarded by writeMu
	outcomeSent bool   // an outcome has been sent, or a write has failed; guarded by writeMu
	features    string // the features sent to the client, "" if none were sent; guarded by writeMu

	mu          sync.Mutex // guards the fields below; never held during a write
	changed     *sync.Cond // signalled when the queue shrinks or the stream ends
	queue       []item
	queuedBytes int
	ended       bool
	condition   condition // overrides the stream error that follows from the request's answer
}

func newStream(client *splice.Conn, account *connlimit.BufferAccount) *stream {
	st := &stream{client: client, account: account}
	st.changed = sync.NewCond(&st.mu)
	return st
}

// errStreamEnded is returned by push once the stream has ended.
var errStreamEnded = errors.New("stream ended")

// push queues an item from the client. It blocks while the queue is full, so that the client's connection is
// not read. The error is errStreamEnded, or that of splice.Conn.PeerGone if the client has left meanwhile.
func (st *stream) push(it item) error {
	st.mu.Lock()
	defer st.mu.Unlock()
	for (len(st.queue) >= maxQueuedItems || st.queuedBytes >= maxQueuedBytes) && !st.ended {
		if gone := st.client.PeerGone(); gone != nil {
			return gone
		}
		st.waitForChange(splice.PeerCheckInterval)
	}
	if st.ended {
		return errStreamEnded
	}
	st.queue = append(st.queue, it)
	st.queuedBytes += len(it.raw)
	return nil
}

// waitForChange waits until the queue has shrunk or the stream has ended, at most for a duration. The caller
// holds mu.
func (st *stream) waitForChange(d time.Duration) {
	timer := time.AfterFunc(d, func() {
		st.mu.Lock()
		defer st.mu.Unlock()
		st.changed.Broadcast()
	})
	defer timer.Stop()
	st.changed.Wait()
}

// pop removes and returns the oldest item of the queue, if there is one.
func (st *stream) pop() (item, bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if len(st.queue) == 0 {
		return item{}, false
	}
	it := st.queue[0]
	st.queue[0] = item{} // the array behind the slice must not keep its text
	st.queue = st.queue[1:]
	st.queuedBytes -= len(it.raw)
	st.changed.Signal()
	return it, true
}

// setCondition sets the condition of the outcome, unless one is set already.
func (st *stream) setCondition(c condition) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.condition == noCondition {
		st.condition = c
	}
}

// write sends complete items to the client. After the outcome it returns net.ErrClosed. If it fails, it ends
// the stream and closes the client's connection.
func (st *stream) write(p []byte) error {
	st.writeMu.Lock()
	defer st.writeMu.Unlock()
	if st.outcomeSent {
		return net.ErrClosed
	}
	st.headerSent = true
	return st.forward(p)
}

// forward writes to the client. If the write fails, the client is gone or does not read, and the last item
// that it received may be incomplete: then the stream ends without an outcome, and the connection is reset.
// That also ends the client's goroutine, which may wait for the client to send something. The caller holds
// writeMu.
func (st *stream) forward(p []byte) error {
	err := st.client.Forward(p)
	if err != nil {
		st.outcomeSent = true
		st.client.Close(relay.AbortiveClose)
		st.markEnded()
	}
	return err
}

// sendFeatures sends the client a server's start tag and features. Only the first call sends them. A retry at
// another server must have the same features, otherwise sendFeatures returns false: the client may have
// chosen its SASL mechanism from the first ones.
func (st *stream) sendFeatures(header, features string) bool {
	st.writeMu.Lock()
	defer st.writeMu.Unlock()
	if st.features != "" {
		return st.features == features
	}
	st.features, st.headerSent = features, true
	return !st.outcomeSent && st.forward([]byte(xmlDeclaration+header+features)) == nil
}

// sendOutcome sends the client the relay's outcome of its stream: the stream's end tag, preceded by a stream
// error if there is a condition. extraChild is a further child element of the error, or "". It has no effect
// if the stream has an outcome.
func (st *stream) sendOutcome(c condition, extraChild string) {
	streamError := ""
	if c != noCondition {
		streamError = fmt.Sprintf("<stream:error><%s xmlns='%s'/>%s</stream:error>", c, errorsNamespace,
			extraChild)
	}
	st.endWith(streamError)
}

// forwardStreamError sends the client a stream error of its server, which is the outcome of the stream, and
// the end tag. It has no effect if the stream has an outcome.
func (st *stream) forwardStreamError(it item) { st.endWith(string(it.raw)) }

// endWith sends the client the outcome of its stream, once: a stream error, or "", and the stream's end tag.
// An outcome is an outcome whether the relay or the server made it, so all of them go out here.
func (st *stream) endWith(streamError string) {
	st.writeMu.Lock()
	defer st.writeMu.Unlock()
	if st.outcomeSent {
		return
	}
	st.outcomeSent = true
	header := ""
	if !st.headerSent {
		header = xmlDeclaration + encodeHeader(st.host)
	}
	st.forward([]byte(header + streamError + streamEndTag))
	st.markEnded() // not earlier, as the client's goroutine then closes the connection
}

// awaitEnd blocks until the stream has ended, at most until the client is gone.
func (st *stream) awaitEnd() {
	st.mu.Lock()
	defer st.mu.Unlock()
	for !st.ended && st.client.PeerGone() == nil {
		st.waitForChange(splice.PeerCheckInterval)
	}
}

// markEnded marks the stream as ended and releases goroutines blocked in push or awaitEnd.
func (st *stream) markEnded() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.ended = true
	st.changed.Broadcast()
}

// clientHalf is the client's connection as the request table uses it. The table wakes it when the request is
// over; a client side that is blocked in push must be released then too.
type clientHalf struct {
	*splice.Conn
	stream *stream
}

// Wake makes the client side check its request and write the answer.
func (c clientHalf) Wake() {
	c.stream.markEnded()
	c.Conn.Wake()
}

// HasUnread reports only whether the client has closed: an XMPP client may send stanzas at any time.
func (c clientHalf) HasUnread() bool { return c.Conn.PeerClosed() }

var _ relay.ClientConn = clientHalf{}
