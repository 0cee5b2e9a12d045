package xmpp

import "net"

// readBufferBytes is the size of one read from the connection.
const readBufferBytes = 4096

// itemReader reads items from a connection. If a read deadline expires in the middle of an item, the bytes
// read so far are kept for the next call.
type itemReader struct {
	conn    net.Conn
	scanner scanner
	items   []item
	buffer  []byte
	err     error // the scanner's error, returned after the items that precede it
}

func newItemReader(conn net.Conn) *itemReader {
	return &itemReader{conn: conn, buffer: make([]byte, readBufferBytes)}
}

// readItem returns the next item. The error is a streamError, which all later calls return too, or an error
// of the connection.
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

// drained reports whether no byte that was read is left over. This must hold before a TLS handshake, as bytes
// before the handshake were sent in plaintext.
func (r *itemReader) drained() bool {
	return len(r.items) == 0 && len(r.scanner.item) == 0 && r.err == nil
}
