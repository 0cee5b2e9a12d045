package ownership

import (
	"encoding/binary"
	"errors"
)

// recordVersion is the first byte of a record; recordLen is the length of one of this version.
const (
	recordVersion = 1
	recordLen     = 1 + 3*8
)

// ErrRecordFormat says that stored bytes are not a record of this version.
var ErrRecordFormat = errors.New("not an ownership record of this version")

// Record is what the service keeps of a stream. It outlives sessions and relays.
type Record struct {
	FencingToken    uint64 // of the newest owner; it rises by one with each acquisition
	MinFencingToken uint64 // lower ones are stale: a client is known to have a later one
	ExpiresUnixMs   int64  // Unix time in ms; after this no client's token of the stream is valid
}

// Marshal encodes a record as the service keeps it: a version byte, then big-endian numbers.
func (r Record) Marshal() []byte {
	b := append(make([]byte, 0, recordLen), recordVersion)
	b = binary.BigEndian.AppendUint64(b, r.FencingToken)
	b = binary.BigEndian.AppendUint64(b, r.MinFencingToken)
	return binary.BigEndian.AppendUint64(b, uint64(r.ExpiresUnixMs))
}

// ParseRecord decodes a record; ErrRecordFormat if it is none of this version.
func ParseRecord(b []byte) (Record, error) {
	if len(b) != recordLen || b[0] != recordVersion {
		return Record{}, ErrRecordFormat
	}
	return Record{
		FencingToken:    binary.BigEndian.Uint64(b[1:]),
		MinFencingToken: binary.BigEndian.Uint64(b[9:]),
		ExpiresUnixMs:   int64(binary.BigEndian.Uint64(b[17:])),
	}, nil
}
