package xmpp

import (
	"net"

	"capersail/internal/wire/connlimit"
)

// readBufferBytes is the size of one read from the connection.
const readBufferBytes = 4096

// itemReader reads items from a connection. If a read deadline expires in the middle of an item, the bytes
// read so far are kept for the next call.
type itemReader struct {
	conn    net.Conn
	scanner scanner
	buffer  []byte
	unread  []byte // part of buffer that has been received and not been scanned
	err     error  // the scanner's error, which all later calls return
	// account counts the bytes of incomplete and returned items; nil for servers, whose items are forwarded
	// at once.
	account *connlimit.BufferAccount
	// pace is called with the size of each read, and with each item before it is returned; nil for servers.
	// Its error ends the connection's input.
	pace func(messages, bytes int) error
}

// newItemReader returns a reader of items of up to maxBytes.
func newItemReader(conn net.Conn, maxBytes int) *itemReader {
	return &itemReader{
		conn:    conn,
		scanner: scanner{maxBytes: maxBytes},
		buffer:  make([]byte, readBufferBytes),
	}
}

// readItem returns the next item. The error is a streamError, which all later calls return too, or an error
// of the connection. The bytes of a returned item stay in the account until its user takes them off.
func (r *itemReader) readItem() (item, error) {
	for r.err == nil {
		it, err := r.scan()
		if err != nil {
			r.err = err
			break
		}
		if it != nil {
			return *it, r.wait(1, 0)
		}
		n, err := r.conn.Read(r.buffer)
		if gone := r.wait(0, n); gone != nil && n > 0 {
			return item{}, gone
		}
		r.unread = r.buffer[:n]
		if err != nil && n == 0 {
			return item{}, err
		}
	}
	return item{}, r.err
}

// wait paces the sender. The error says that the sender has left.
func (r *itemReader) wait(messages, bytes int) error {
	if r.pace == nil {
		return nil
	}
	return r.pace(messages, bytes)
}

// scan scans what has been received, up to the end of an item, and accounts for it.
func (r *itemReader) scan() (*item, error) {
	before := len(r.scanner.item)
	it, rest, err := r.scanner.next(r.unread)
	r.unread = rest
	if err != nil || r.account == nil {
		return it, err
	}
	grown := len(r.scanner.item) - before
	if it != nil {
		grown += len(it.raw)
	}
	if r.account.Add(grown) != nil {
		return nil, errNoMemory
	}
	return it, nil
}

// drained reports whether no byte that was read is left over. This must hold before a TLS handshake, as bytes
// before the handshake were sent in plaintext.
func (r *itemReader) drained() bool {
	return len(r.unread) == 0 && len(r.scanner.item) == 0 && r.err == nil
}
