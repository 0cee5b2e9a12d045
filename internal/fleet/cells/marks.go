package cells

import (
	"slices"
	"time"
)

// maxRepresentatives is the number of representatives per cell whose sequence numbers are remembered.
const maxRepresentatives = 4

// sequenceMark is the highest sequence number received from a representative.
type sequenceMark struct {
	representative string
	incarnation    uint64
	seq            uint64
	receivedAt     time.Duration
}

// isBefore reports whether a message was sent before another one of the same representative.
func (m sequenceMark) isBefore(o sequenceMark) bool {
	return m.incarnation < o.incarnation || m.incarnation == o.incarnation && m.seq < o.seq
}

// sequenceMarks are the marks of a cell's representatives, ordered by the time of receipt.
type sequenceMarks []sequenceMark

// find returns the index of a representative's mark, or -1.
func (s sequenceMarks) find(representative string) int {
	return slices.IndexFunc(s, func(m sequenceMark) bool { return m.representative == representative })
}

// isNewer reports whether a message is newer than all that were received from its representative.
func (s sequenceMarks) isNewer(m sequenceMark) bool {
	i := s.find(m.representative)
	return i < 0 || s[i].isBefore(m)
}

// record replaces the mark of a representative, or the oldest mark if there are too many.
func (s *sequenceMarks) record(m sequenceMark) {
	if i := s.find(m.representative); i >= 0 {
		*s = slices.Delete(*s, i, i+1)
	} else if len(*s) == maxRepresentatives {
		*s = slices.Delete(*s, 0, 1)
	}
	*s = append(*s, m)
}
