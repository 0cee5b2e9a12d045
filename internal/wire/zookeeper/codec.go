package zookeeper

import (
	"encoding/binary"
	"errors"
)

// errTruncated is the error of a frame that is shorter than its fields.
var errTruncated = errors.New("frame truncated")

// The operations of ZooKeeper's client protocol that are used here.
const (
	opCreate      = 1
	opDelete      = 2
	opExists      = 3
	opGetData     = 4
	opSetData     = 5
	opGetChildren = 8
	opSync        = 9
	opPing        = 11
	opCheck       = 13
	opMulti       = 14
	opClose       = -11
	opMultiError  = -1 // type of an error result, and of the header that ends a transaction
)

// The xids of frames that do not answer a numbered request.
const (
	xidEvent = -1
	xidPing  = -2
)

// The error codes of the protocol.
const (
	codeNoNode               = -101
	codeBadVersion           = -103
	codeNodeExists           = -110
	codeNotEmpty             = -111
	codeRuntimeInconsistency = -2 // result of the steps of a transaction after the one that failed
)

// The session state and the types of events.
const (
	stateExpired     = -112
	eventNodeDeleted = 2
	eventDataChanged = 3
)

// maxFrameBytes is the maximum length of a frame that is read.
const maxFrameBytes = 4 << 20

// requestHeaderBytes is the length of an xid and an operation.
const requestHeaderBytes = 8

// encoder appends encoded fields to a frame.
type encoder []byte

func (b encoder) i32(x int32) encoder    { return binary.BigEndian.AppendUint32(b, uint32(x)) }
func (b encoder) i64(x int64) encoder    { return binary.BigEndian.AppendUint64(b, uint64(x)) }
func (b encoder) bytes(p []byte) encoder { return append(b.i32(int32(len(p))), p...) }

func (b encoder) flag(x bool) encoder {
	if x {
		return append(b, 1)
	}
	return append(b, 0)
}

// decoder reads the fields of a frame. After the first truncated field all fields are read as zero.
type decoder struct {
	rest      []byte
	truncated bool
}

// maxFixedFieldBytes is the length of the longest fixed-length field. take returns so many bytes even if the
// frame is truncated, as callers index its result before they check truncated.
const maxFixedFieldBytes = 8

// take returns the next n bytes, or zero bytes if the frame is truncated.
func (d *decoder) take(n int) []byte {
	if n < 0 || n > len(d.rest) {
		d.truncated, d.rest = true, nil
		return make([]byte, maxFixedFieldBytes)
	}
	p := d.rest[:n]
	d.rest = d.rest[n:]
	return p
}

func (d *decoder) i32() int32 { return int32(binary.BigEndian.Uint32(d.take(4))) }
func (d *decoder) i64() int64 { return int64(binary.BigEndian.Uint64(d.take(8))) }
func (d *decoder) flag() bool { return d.take(1)[0] == 1 }
func (d *decoder) skip(n int) { d.take(n) }

func (d *decoder) bytes() []byte {
	n := d.i32()
	if n == -1 || d.truncated { // null
		return nil
	}
	return d.take(int(n))
}
