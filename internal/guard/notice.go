package guard

// What discovery has to tell counts as told 6 s after it was made at the latest. Until then it is not certain which of two words about
// a server is held against a relay that has heard both, so a server counts as ready only while every word that may count says so:
//
//	       left at L                 back at B             L + 6           B + 6
//	ready  |  not ready              |  ready: B counts    |  L may count  |  ready
//
// Between L + 6 s and B + 6 s nothing new goes there. A server that was away for longer has no such time: L counted before B was made.
const (
	noticeWithin = 6000.0
	// noticeLag is the longest from a change to its arrival on a sound watch: a change was made so much earlier than it was heard.
	noticeLag = 300.0
	// noticeMargin is kept to each side for what a send takes from the check to its last byte.
	noticeMargin = 200.0
)

// Notices are the last two words about one server: that it left, and that it came back. The zero value knows of neither.
type Notices struct {
	left, back float64
	known      bool // a list has named the server
	ready      bool
}

// Heard takes in what a list says of the server now.
func (n *Notices) Heard(now float64, ready bool) {
	switch {
	case ready && !n.ready:
		n.back = now
	case !ready && (n.ready || !n.known):
		n.left = now
	}
	n.known, n.ready = true, ready
}

// Contradict tells whether the older word may count now, though the newer one has been heard.
func (n *Notices) Contradict(now float64) bool {
	if n.left == 0 || n.back <= n.left || n.back-n.left >= noticeWithin+noticeLag {
		return false
	}
	return now >= n.left+noticeWithin-noticeLag-noticeMargin && now < n.back+noticeWithin+noticeMargin
}
