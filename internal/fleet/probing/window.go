package probing

// DedupWindow remembers which numbers of a sender have come: all up to 64 below the highest. The zero
// DedupWindow is ready.
type DedupWindow struct {
	incarnation, highest, seenBits uint64
}

// Accept tells whether a number of a sender's incarnation is new, and notes it.
func (w *DedupWindow) Accept(incarnation, seq uint64) bool {
	switch {
	case incarnation < w.incarnation:
		return false
	case incarnation > w.incarnation:
		*w = DedupWindow{incarnation: incarnation}
	}
	switch {
	case seq > w.highest:
		w.seenBits, w.highest = w.seenBits<<min(seq-w.highest, 64)|1, seq
		return true
	case w.highest-seq >= 64 || w.seenBits>>(w.highest-seq)&1 == 1:
		return false
	}
	w.seenBits |= 1 << (w.highest - seq)
	return true
}
