package fake

import "encoding/binary"

// zkWriter is a frame under construction. Each method returns the frame with one more field.
type zkWriter []byte

func (w zkWriter) ints(values ...int) zkWriter {
	for _, x := range values {
		w = binary.BigEndian.AppendUint32(w, uint32(int32(x)))
	}
	return w
}

func (w zkWriter) long(x int64) zkWriter {
	return binary.BigEndian.AppendUint64(w, uint64(x))
}

func (w zkWriter) text(s string) zkWriter {
	return append(w.ints(len(s)), s...)
}

func (w zkWriter) flag(on bool) zkWriter {
	if on {
		return append(w, 1)
	}
	return append(w, 0)
}

func (w zkWriter) raw(b []byte) zkWriter {
	return append(w, b...)
}

// zkReader reads the fields of a request. It panics if the request is truncated.
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

// skipACL skips the access control list of a create request.
func (r *zkReader) skipACL() {
	for n := r.readInt(); n > 0; n-- {
		r.readInt()
		r.readString()
		r.readString()
	}
}

// appendStat appends the node's stat record. Fields for transactions and times are 0, because the program
// does not use them.
func (n *zkNode) appendStat(w zkWriter) zkWriter {
	return w.raw(make([]byte, 32)).ints(n.version, 0, 0).long(n.owner).ints(len(n.data), 0).long(0)
}
