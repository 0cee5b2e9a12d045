package guard

import "slices"

// What discovery has to tell counts as told 6 s after it was made at the latest. Until then it is not certain which of two words about
// a server is held against a relay that has heard both, so a server counts as ready only while every word that may count says so:
//
//	       left at L                 back at B             L + 6           B + 6
//	ready  |  not ready              |  ready: B counts    |  L may count  |  ready
//
// Between L + 6 s and B + 6 s nothing new goes there. A server that was away for longer has no such time: L counted before B was made.
const (
	noticeWithin = 6000.0
	// longestWait is how long a sound watch may be without a line: a change was made at most so long after discovery was last heard.
	longestWait = 2300.0
	// noticeMargin is kept to each side for what a send takes from the check to its last byte.
	noticeMargin = 200.0
)

// mostAbsences bounds the absences of a server that are kept. Of more the oldest two are taken for one.
const mostAbsences = 8

// absence is a time in which a server was not ready: it left after left and was back before back.
type absence struct{ left, back float64 }

// contradicts tells whether the word that the server left may count, though its return has been heard.
func (a absence) contradicts(now float64) bool {
	return now >= a.left+noticeWithin-noticeMargin && !a.over(now)
}

// over tells whether the word of the return counts for certain.
func (a absence) over(now float64) bool { return now >= a.back+noticeWithin+noticeMargin }

// Notices are the words about one server that may still count. The zero value knows of none.
type Notices struct {
	past  []absence
	left  float64 // after this the server last left
	known bool    // a list has named it
	ready bool
}

// Heard takes in what a list says of the server now. before is when discovery was last heard before that: what has changed was made
// between the two.
func (n *Notices) Heard(before, now float64, ready bool) {
	switch {
	case !ready && (n.ready || !n.known):
		n.left = before
	case !ready && now-before > longestWait: // it may have been back and have left again, unheard
		n.returned(before, now)
		n.left = before
	case ready && !n.ready && n.known:
		n.returned(before, now)
	}
	n.known, n.ready = true, ready
}

// returned keeps an absence that has ended, and forgets those that are over. One that was longer than news may take is no matter: its
// begin counted before its end was made.
func (n *Notices) returned(before, now float64) {
	n.past = slices.DeleteFunc(n.past, func(a absence) bool { return a.over(now) })
	if before-n.left >= noticeWithin+longestWait {
		return
	}
	if len(n.past) == mostAbsences {
		n.past[1].left = n.past[0].left
		n.past = slices.Delete(n.past, 0, 1)
	}
	n.past = append(n.past, absence{left: n.left, back: now})
}

// Contradict tells whether an older word that the server has left may count now, though a newer one of its return has been heard.
func (n *Notices) Contradict(now float64) bool {
	return slices.ContainsFunc(n.past, func(a absence) bool { return a.contradicts(now) })
}
