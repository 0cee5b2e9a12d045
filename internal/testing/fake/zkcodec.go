package fake

import "encoding/binary"

// zkWriter is a frame that is being written. Each method returns it with a field more.
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

// zkReader reads a request's fields. It panics on one that is cut short.
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

// skipACL reads the list of access rights of a create.
func (r *zkReader) skipACL() {
	for n := r.readInt(); n > 0; n-- {
		r.readInt()
		r.readString()
		r.readString()
	}
}

// stat appends the node's facts: of transactions and times, which nobody reads here, none.
func (n *zkNode) appendStat(w zkWriter) zkWriter {
	return w.raw(make([]byte, 32)).ints(n.version, 0, 0).long(n.owner).ints(len(n.data), 0).long(0)
}
