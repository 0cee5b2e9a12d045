package xmpp

import "net"

// readBufferBytes is how much is read at once.
const readBufferBytes = 4096

// itemReader reads items from a connection. A read that a deadline cuts short loses nothing.
type itemReader struct {
	conn    net.Conn
	scanner scanner
	items   []item
	buffer  []byte
	err     error // of the scanner; it comes after the items before it
}

func newItemReader(conn net.Conn) *itemReader {
	return &itemReader{conn: conn, buffer: make([]byte, readBufferBytes)}
}

// readItem returns the next item. Its errors are a streamError, after which nothing more comes, and those of
// the connection.
func (r *itemReader) readItem() (item, error) {
	for len(r.items) == 0 {
		if r.err != nil {
			return item{}, r.err
		}
		n, err := r.conn.Read(r.buffer)
		r.items, r.err = r.scanner.feed(r.buffer[:n])
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
