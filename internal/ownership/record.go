package ownership

import (
	"encoding/binary"
	"errors"
)

// Encoding of a record.
const (
	recordVersion = 1       // first byte of a record
	recordLen     = 1 + 3*8 // bytes in a record of this version
)

// ErrRecordFormat means that stored bytes are not a record of this version.
var ErrRecordFormat = errors.New("ownership record has an unsupported version or a wrong length")

// Record is the state of a stream that the service stores. It outlives sessions and relays.
type Record struct {
	FencingToken    uint64 // of the newest owner; increases by one with each acquisition
	MinFencingToken uint64 // lower tokens are stale, as the client is known to have a later one
	ExpiresUnixMs   int64  // Unix time in ms after which no resume token of the stream is valid
}

// Marshal encodes a record for storage: a version byte, then the fields as big-endian 64-bit numbers.
func (r Record) Marshal() []byte {
	b := append(make([]byte, 0, recordLen), recordVersion)
	b = binary.BigEndian.AppendUint64(b, r.FencingToken)
	b = binary.BigEndian.AppendUint64(b, r.MinFencingToken)
	return binary.BigEndian.AppendUint64(b, uint64(r.ExpiresUnixMs))
}

// ParseRecord decodes a stored record. It returns ErrRecordFormat for anything but a record of this version.
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
