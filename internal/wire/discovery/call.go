package discovery

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"capersail/decide"
)

// bodyBufferBytes is the size of the read buffer of a response's body.
const bodyBufferBytes = 64 << 10

// response is the result of a call up to its first list, or up to an error.
type response struct {
	callID  uint64        // sequence number of the call in this process
	attempt int           // 0, or 1 for the hedged call
	latency time.Duration // time until the first list or the error
	err     error         // set if the call failed before its first list

	connected    bool // the connection was established
	conn         net.Conn
	lists        objectReader
	firstList    []byte // text of the first list
	firstListErr error  // error read together with the first list, such as io.EOF
	close        func() // cancels the call and closes its connection
}

// streamLists makes one call and applies every list that it delivers, until the call ends. It updates
// version.
func (c *Client) streamLists(ctx context.Context, address, path string, version *int64) error {
	r := c.openHedgedCall(ctx, address, path)
	defer r.close()
	if r.err != nil {
		return r.callError()
	}
	text, err := r.firstList, r.firstListErr
	for first := true; ; first = false {
		ended := errors.Is(err, io.EOF)
		if len(text) > 0 && (err == nil || ended) {
			if err := c.applyList(r, text, first, address, version); err != nil {
				return err
			}
		}
		if err == nil {
			c.consumer.onContact()
		}
		switch {
		case ended:
			return nil
		case deadlineExceeded(err):
			return errWatchSilent
		case err != nil:
			return fmt.Errorf("read: %w", err)
		}
		c.setDeadline(r.conn, c.timeouts.silence)
		text, err = r.lists.next()
	}
}

// applyList parses a list of a call, passes it to the consumer and updates version. first says that it is the
// first list of the call.
func (c *Client) applyList(r *response, text []byte, first bool, address string, version *int64) error {
	list, err := ParseList(string(text), c.log)
	if err != nil {
		return err
	}
	if first && !list.Complete && list.Version < *version {
		return errOlderVersion
	}
	if !c.confirmation.accepts(list, *version, c.consumer.listedServers(), address) {
		return errUnconfirmed
	}
	c.logList(r, list, *version)
	*version = list.Version
	c.listVersion.Store(list.Version)
	kind := decide.Delta
	if list.Complete {
		kind = decide.Snapshot
	}
	c.consumer.deliver(kind, list.Endpoints)
	return nil
}

// openHedgedCall makes a call and waits for the first list of its response. If the call hangs, a second
// (hedged) call is made in parallel, and the first response is used: a hanging call is no sign of a fault of
// discovery, and cancelling it could discard a response that is only slow. A call that fails at once is not
// hedged, as discovery may be overloaded by its callers.
func (c *Client) openHedgedCall(ctx context.Context, address, path string) *response {
	responses := make(chan *response, 2)
	var cancels []func()
	start := func() {
		call, cancel := context.WithCancel(ctx)
		attempt := len(cancels)
		cancels = append(cancels, cancel)
		id, began := c.callCount.Add(1), c.clock.Now()
		go func() {
			r := c.openCall(call, address, path)
			r.callID, r.attempt, r.close = id, attempt, cancel
			r.latency = c.clock.Now() - began
			c.logCall(call, r, path)
			responses <- r
		}()
	}
	start()
	hedge := c.clock.After(c.timeouts.hedge)
	for openCalls := 1; ; {
		var r *response
		select {
		case <-hedge:
		case r = <-responses:
			openCalls--
		}
		if len(cancels) == 1 && (r == nil || timedOut(r.err)) {
			hedge = nil
			start()
			openCalls++
		}
		if r == nil || r.err != nil && openCalls > 0 {
			continue
		}
		for attempt, cancel := range cancels {
			if attempt != r.attempt {
				cancel()
			}
		}
		return r
	}
}

// openCall makes one call and reads the first list of its response. The connection is closed when the context
// ends.
func (c *Client) openCall(ctx context.Context, address, path string) *response {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return &response{err: fmt.Errorf("dial: %w", err)}
	}
	context.AfterFunc(ctx, func() { conn.Close() })
	r := &response{connected: true, conn: conn}
	c.setDeadline(conn, c.timeouts.response)
	if err := writeRequest(conn, address, path); err != nil {
		r.err = fmt.Errorf("send request: %w", err)
		return r
	}
	body, err := readHeader(bufio.NewReaderSize(conn, maxHeaderLineBytes))
	if err != nil {
		r.err = err
		return r
	}
	r.lists = objectReader{bufio.NewReaderSize(body, bodyBufferBytes)}
	r.firstList, r.firstListErr = r.lists.next()
	if r.firstListErr != nil && !errors.Is(r.firstListErr, io.EOF) {
		r.err = fmt.Errorf("read: %w", r.firstListErr)
	}
	return r
}

// setDeadline sets the deadline of all reads and writes of the connection, relative to now.
func (c *Client) setDeadline(conn net.Conn, after time.Duration) {
	conn.SetDeadline(c.clock.WallDeadline(c.clock.Now() + after))
}
