package zookeeper

import (
	"encoding/binary"
)

// encoder writes fields one after the other; reader takes them apart.
type encoder []byte

func (b encoder) i32(x int32) encoder { return binary.BigEndian.AppendUint32(b, uint32(x)) }
func (b encoder) i64(x int64) encoder { return binary.BigEndian.AppendUint64(b, uint64(x)) }
func (b encoder) bytes(p []byte) encoder {
	return append(b.i32(int32(len(p))), p...)
}
func (b encoder) flag(x bool) encoder {
	if x {
		return append(b, 1)
	}
	return append(b, 0)
}

// decoder reads fields; the first that is cut off spoils the rest.
type decoder struct {
	rest      []byte
	truncated bool
}

func (r *decoder) take(n int) []byte {
	if n < 0 || n > len(r.rest) {
		r.truncated, r.rest = true, nil
		return make([]byte, 8)
	}
	p := r.rest[:n]
	r.rest = r.rest[n:]
	return p
}
func (r *decoder) i32() int32 { return int32(binary.BigEndian.Uint32(r.take(4))) }
func (r *decoder) i64() int64 { return int64(binary.BigEndian.Uint64(r.take(8))) }
func (r *decoder) bytes() []byte {
	n := r.i32()
	if n == -1 || r.truncated { // null
		return nil
	}
	return r.take(int(n))
}

// The figures of ZooKeeper's client protocol that are used here.
const (
	opCreate                 = 1
	opDelete                 = 2
	opExists                 = 3
	opGetData                = 4
	opSetData                = 5
	opGetChildren            = 8
	opSync                   = 9
	opPing                   = 11
	opCheck                  = 13
	opMulti                  = 14
	opClose                  = -11
	xidEvent                 = -1
	xidPing                  = -2
	codeNoNode               = -101
	codeBadVersion           = -103
	codeNodeExists           = -110
	codeNotEmpty             = -111
	codeRuntimeInconsistency = -2 // of what a transaction did not come to
	stateExpired             = -112

	maxFrameBytes = 4 << 20
)
