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

// bodyBuffer is how much of a body is read at once, in bytes.
const bodyBuffer = 64 << 10

// response is what a call has brought: its first list, or an error.
type response struct {
	callID  uint64        // numbers the calls of the process
	attempt int           // 0, or 1 for the hedged call
	latency time.Duration // until its first list or its error
	err     error         // no first list came

	connected bool // the connection came up
	conn      net.Conn
	lists     objectReader
	first     []byte // the first list's text
	firstErr  error  // what came with it, as the end of a body does
	close     func() // ends the call
}

// streamLists makes one call and takes in every list that it brings, until the call ends.
func (c *Client) streamLists(ctx context.Context, address, path string, version *int64) error {
	r := c.openHedged(ctx, address, path)
	defer r.close()
	if r.err != nil {
		return r.callError()
	}
	text, err := r.first, r.firstErr
	for first := true; ; first = false {
		ended := errors.Is(err, io.EOF)
		if len(text) > 0 && (err == nil || ended) {
			if err := c.takeList(r, text, first, address, version); err != nil {
				return err
			}
		}
		if err == nil {
			c.to.onContact()
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

// takeList takes in one list of a call, the first of it or a later one.
func (c *Client) takeList(r *response, text []byte, first bool, address string, version *int64) error {
	list, err := ParseList(string(text), c.log)
	if err != nil {
		return err
	}
	if first && !list.Complete && list.Version < *version {
		return errOlderVersion
	}
	if !c.confirmation.accepts(list, *version, c.to.listedServers(), address) {
		return errUnconfirmed
	}
	c.logList(r, list, *version)
	*version = list.Version
	c.listVersion.Store(list.Version)
	kind := decide.Delta
	if list.Complete {
		kind = decide.Snapshot
	}
	c.to.deliver(kind, list.Endpoints)
	return nil
}

// openHedged makes a call and waits for the first list of its response. A call that hangs says nothing of
// discovery, and to give it up would throw away a response that is only slow: a hedged call is made beside
// it, once, and the first response counts. A call that fails at once is not hedged, as discovery may have too
// many callers.
func (c *Client) openHedged(ctx context.Context, address, path string) *response {
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
	for open := 1; ; {
		var r *response
		select {
		case <-hedge:
		case r = <-responses:
			open--
		}
		if len(cancels) == 1 && (r == nil || timedOut(r.err)) {
			hedge = nil
			start()
			open++
		}
		if r == nil || r.err != nil && open > 0 {
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

// openCall makes one call, up to the first list of its response. The connection is closed with the context.
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
	body, err := readHead(bufio.NewReaderSize(conn, maxHeadLine))
	if err != nil {
		r.err = err
		return r
	}
	r.lists = objectReader{bufio.NewReaderSize(body, bodyBuffer)}
	r.first, r.firstErr = r.lists.next()
	if r.firstErr != nil && !errors.Is(r.firstErr, io.EOF) {
		r.err = fmt.Errorf("read: %w", r.firstErr)
	}
	return r
}

// setDeadline bounds what is read from and written to a connection from now on.
func (c *Client) setDeadline(conn net.Conn, after time.Duration) {
	conn.SetDeadline(c.clock.WallDeadline(c.clock.Now() + after))
}
