package cells

import (
	"slices"
	"time"
)

// maxRepresentatives is of how many representatives of a cell the numbers are remembered.
const maxRepresentatives = 4

// sequenceMark is the highest number received of a representative.
type sequenceMark struct {
	representative string
	incarnation    uint64
	seq            uint64
	receivedAt     time.Duration
}

// less tells whether a mark is of an earlier message than another of the same representative.
func (m sequenceMark) less(o sequenceMark) bool {
	return m.incarnation < o.incarnation || m.incarnation == o.incarnation && m.seq < o.seq
}

// sequenceMarks are those of a cell's representatives, the one received last at the end.
type sequenceMarks []sequenceMark

// find is where a representative's mark is, negative for none.
func (s sequenceMarks) find(representative string) int {
	return slices.IndexFunc(s, func(m sequenceMark) bool { return m.representative == representative })
}

// isNewer tells whether a mark is over what is remembered of its representative.
func (s sequenceMarks) isNewer(m sequenceMark) bool {
	i := s.find(m.representative)
	return i < 0 || s[i].less(m)
}

// record remembers a mark in place of its representative's last, or of the oldest where there are too many.
func (s *sequenceMarks) record(m sequenceMark) {
	if i := s.find(m.representative); i >= 0 {
		*s = slices.Delete(*s, i, i+1)
	} else if len(*s) == maxRepresentatives {
		*s = slices.Delete(*s, 0, 1)
	}
	*s = append(*s, m)
}
