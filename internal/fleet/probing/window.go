package probing

// DedupWindow detects duplicate sequence numbers of one sender. It covers the highest number received and the
// 63 numbers below it; older numbers count as duplicates. The zero value is ready to use.
type DedupWindow struct {
	incarnation, highest, seenBits uint64
}

// Accept records a sequence number of a sender's incarnation, and reports whether it is new.
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
