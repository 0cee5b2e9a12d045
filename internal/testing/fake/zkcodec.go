package fake

import "encoding/binary"

func appendUint32(b []byte, x int) []byte    { return binary.BigEndian.AppendUint32(b, uint32(int32(x))) }
func appendUint64(b []byte, x int64) []byte  { return binary.BigEndian.AppendUint64(b, uint64(x)) }
func appendString(b []byte, s string) []byte { return append(appendUint32(b, len(s)), s...) }

// zkReader reads a request's fields.
type zkReader struct{ rest []byte }

func (r *zkReader) readInt() int {
	x := int(int32(binary.BigEndian.Uint32(r.rest)))
	r.rest = r.rest[4:]
	return x
}

func (r *zkReader) readString() string {
	n := max(0, r.readInt())
	s := string(r.rest[:n])
	r.rest = r.rest[n:]
	return s
}

func (r *zkReader) readBool() bool {
	x := r.rest[0] == 1
	r.rest = r.rest[1:]
	return x
}

// skipACL reads the list of rights that comes with a node.
func (r *zkReader) skipACL() {
	for n := r.readInt(); n > 0; n-- {
		r.readInt()
		r.readString()
		r.readString()
	}
}

func (n *zkNode) stat(b []byte) []byte {
	b = append(b, make([]byte, 32)...)
	b = appendUint64(appendUint32(appendUint32(appendUint32(b, n.version), 0), 0), n.owner)
	return appendUint64(appendUint32(appendUint32(b, len(n.data)), 0), 0)
}
