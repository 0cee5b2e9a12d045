package xmpp

import (
	"net"
)

// itemReader reads items from a connection. A read that a deadline cuts short loses nothing.
type itemReader struct {
	conn    net.Conn
	scanner scanner
	items   []item
	buf     []byte
	err     error // of the scanner; it comes after the items before it
}

func newItemReader(conn net.Conn) *itemReader {
	return &itemReader{conn: conn, buf: make([]byte, 4096)}
}

func (r *itemReader) readItem() (item, error) {
	for len(r.items) == 0 {
		if r.err != nil {
			return item{}, r.err
		}
		n, err := r.conn.Read(r.buf)
		r.items, r.err = r.scanner.feed(r.buf[:n])
		if err != nil && len(r.items) == 0 && r.err == nil {
			return item{}, err
		}
	}
	it := r.items[0]
	r.items = r.items[1:]
	return it, nil
}

// drained tells whether everything that was read has been taken, as before a TLS handshake it must be.
func (r *itemReader) drained() bool {
	return len(r.items) == 0 && len(r.scanner.item) == 0 && r.err == nil
}

// isScanError tells the scanner's refusals from a broken connection.
func isScanError(err error) bool {
	return err == errNotWellFormed || err == errRestricted || err == errTooLarge
}
