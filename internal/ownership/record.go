package ownership

import (
	"encoding/binary"
)

// Record is what the service keeps of a stream.
type Record struct {
	FencingToken    uint64 // of the newest service
	MinFencingToken uint64 // tokens of an earlier generation are behind: a later one is known to have arrived
	ExpiresUnixMs   int64  // Unix ms; after this no token of the stream is good
}

// Marshal writes a record as the service keeps it: a version byte, then big-endian numbers.
func (r Record) Marshal() []byte {
	b := append(make([]byte, 0, 25), 1)
	b = binary.BigEndian.AppendUint64(b, r.FencingToken)
	b = binary.BigEndian.AppendUint64(b, r.MinFencingToken)
	return binary.BigEndian.AppendUint64(b, uint64(r.ExpiresUnixMs))
}

// ParseRecord reads a record; false if it is none of this version.
func ParseRecord(b []byte) (r Record, ok bool) {
	if len(b) != 25 || b[0] != 1 {
		return r, false
	}
	return Record{binary.BigEndian.Uint64(b[1:]), binary.BigEndian.Uint64(b[9:]), int64(binary.BigEndian.Uint64(b[17:]))}, true
}
