package discovery

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"

	"capersail/decide"
	"capersail/internal/relay"
)

// streamLists makes one streamLists and takes in every list that it brings.
func (c *Client) streamLists(ctx context.Context, address, path string, version *int64) error {
	a := c.openHedged(ctx, address, path)
	defer a.close()
	if a.err != nil {
		return a.callError()
	}
	for text, err := a.first, a.firstErr; ; text, err = a.lists.next() {
		ended := errors.Is(err, io.EOF)
		if len(text) > 0 && (err == nil || ended) {
			list, err := ParseList(string(text), c.log)
			if err != nil {
				return err
			}
			if !a.firstTaken && !list.Complete && list.Version < *version {
				return errOlderVersion
			}
			if !c.confirmation.accepts(list, *version, c.listedServers(), address) {
				return errUnconfirmed
			}
			c.logList(a, list, *version)
			*version = list.Version
			c.listVersion.Store(list.Version)
			kind := decide.Delta
			if list.Complete {
				kind = decide.Snapshot
			}
			c.deliver(kind, list.Endpoints)
		}
		if err == nil {
			c.onContact()
		}
		switch {
		case ended:
			return nil
		case deadlineExceeded(err):
			return errWatchSilent
		case err != nil:
			return fmt.Errorf("read: %w", err)
		}
		a.firstTaken = true
		a.conn.SetDeadline(c.clock.WallDeadlineMillis(c.clock.NowMillis() + c.silenceTimeout))
	}
}

// response is what a call has brought: its first line, or an error.
type response struct {
	attempt int    // of the call, 0 or 1
	callID  uint64 // of the call, since the process started
	took    float64
	// dialled: its connection came up.
	connected  bool
	conn       net.Conn
	lists      objectReader
	first      []byte
	firstErr   error // what came with the first line, as the end of a body does
	firstTaken bool  // the first line has been taken in
	err        error // no first line came
	close      func()
}

// openHedged makes a call and waits for the first line of its answer. One that hangs says nothing of discovery, and to give it up would
// throw away the answer of one that is only slow: a second is made beside it, once, and the first answer counts. One that
// fails at once is not made again here, as discovery may have too many callers.
func (c *Client) openHedged(ctx context.Context, address, path string) *response {
	answers := make(chan *response, 2)
	var stops []func()
	ask := func() {
		own, stop := context.WithCancel(ctx)
		no := len(stops)
		stops = append(stops, stop)
		id, began := c.callCount.Add(1), c.clock.NowMillis()
		go func() {
			a := c.openCall(own, address, path)
			a.attempt, a.callID, a.took, a.close = no, id, c.clock.NowMillis()-began, stop
			c.logCall(own, a, path)
			answers <- a
		}()
	}
	ask()
	second := c.clock.AfterMillis(c.hedgeDelay)
	for out := 1; ; {
		var a *response
		select {
		case <-second:
		case a = <-answers:
			out--
		}
		if len(stops) == 1 && (a == nil || timedOut(a.err)) {
			second = nil
			ask()
			out++
		}
		if a == nil || a.err != nil && out > 0 {
			continue
		}
		for no, stop := range stops {
			if no != a.attempt {
				stop()
			}
		}
		return a
	}
}

// openCall makes one call, up to the first line of its answer. The connection is closed with the context.
func (c *Client) openCall(ctx context.Context, address, path string) *response {
	d := net.Dialer{Timeout: relay.Duration(dialTimeout)}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return &response{err: fmt.Errorf("dial: %w", err)}
	}
	context.AfterFunc(ctx, func() { conn.Close() })
	conn.SetDeadline(c.clock.WallDeadlineMillis(c.clock.NowMillis() + c.responseTimeout))
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nAccept: application/json\r\n\r\n", path, address); err != nil {
		return &response{connected: true, err: fmt.Errorf("ask: %w", err)}
	}
	body, err := readHead(bufio.NewReaderSize(conn, maxHeadLine))
	if err != nil {
		return &response{connected: true, err: err}
	}
	a := &response{connected: true, conn: conn, lists: objectReader{bufio.NewReaderSize(body, 64<<10)}}
	if a.first, a.firstErr = a.lists.next(); a.firstErr != nil && !errors.Is(a.firstErr, io.EOF) {
		a.err = fmt.Errorf("read: %w", a.firstErr)
	}
	return a
}
