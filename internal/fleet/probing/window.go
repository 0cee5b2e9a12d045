package probing

// DedupWindow remembers which numbers of a sender have come: all up to 64 below the highest. The zero
// DedupWindow is ready.
type DedupWindow struct {
	incarnation, high, seen uint64
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
	case seq > w.high:
		w.seen, w.high = w.seen<<min(seq-w.high, 64)|1, seq
		return true
	case w.high-seq >= 64 || w.seen>>(w.high-seq)&1 == 1:
		return false
	}
	w.seen |= 1 << (w.high - seq)
	return true
}
