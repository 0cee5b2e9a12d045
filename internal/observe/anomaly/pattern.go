package anomaly

import (
	"fmt"
	"math"
	"time"

	"capersail/decide"
)

// The figures of the patterns.
const (
	burstWindow = 3 * time.Second
	burstMin    = 4           // so many in burstWindow make a burst
	rowMin      = 3           // or so many without a success between them
	rowWindow   = time.Minute // in this

	probesMissedMin = 2 // in a row
	lateRepliesMin  = 2 // in a row

	minFrozen      = 4 * time.Second // a report repeats for so long
	frozenReadsMin = 5               // in so many readings
	frozenChurnMin = 4               // while so many connections came or went

	sentAwayMin = 2 // clients, in burstWindow

	flapsMin   = 4
	flapWindow = time.Minute

	unevenBy   = 0.35            // load over the peers' median
	unevenPart = 0.5             // and of that median
	freshLoad  = 4 * time.Second // a report that says something of now

	fullRowMin  = 2 // a server is full so often in a row
	fullLoadMax = 0.7
)

// finding is a pattern that is there: its evidence, "" if it is not, and how sure it is, from 0 to 1.
type finding struct {
	evidence   string
	confidence float64
}

// patterns are those of single servers, by kind.
var patterns = [EndpointListUnreachable]func(*Detector, *serverState) finding{
	Unresponsive:       (*Detector).findUnresponsive,
	Unreachable:        (*Detector).findUnreachable,
	LateProbeReplies:   (*Detector).findLateReplies,
	FrozenReport:       (*Detector).findFrozenReport,
	ErrorBurst:         (*Detector).findErrorBurst,
	SlowSetup:          (*Detector).findSlowSetup,
	UnannouncedRestart: (*Detector).findRestart,
	UnannouncedDrain:   (*Detector).findDrain,
	Flapping:           (*Detector).findFlapping,
	UnevenLoad:         (*Detector).findUnevenLoad,
	RejectingAll:       (*Detector).findRejecting,
}

// find looks for a kind's pattern at a server. Of one that the endpoint list does not have ready only
// flapping is.
func (d *Detector) find(k Kind, s *serverState) finding {
	if s.mode != decide.Ready && k != Flapping {
		return finding{}
	}
	return patterns[k](d, s)
}

// grown is the confidence in a pattern of n pieces of evidence where least are wanted.
func grown(n, least int) float64 { return 1 - math.Pow(0.5, float64(n-least+2)) }

func (d *Detector) findUnresponsive(s *serverState) finding {
	if s.missedProbes < probesMissedMin {
		return finding{}
	}
	return finding{
		fmt.Sprintf("%d probes in a row without an answer, no reset", s.missedProbes),
		grown(s.missedProbes, probesMissedMin),
	}
}

// findUnreachable goes by refusals in a row, or, as a relay that ejects the server may not try it for long,
// by connections that all broke together.
func (d *Detector) findUnreachable(s *serverState) finding {
	if s.refusedInARow >= probesMissedMin {
		return finding{
			fmt.Sprintf("%d connections in a row refused; the list has it ready", s.refusedInARow),
			grown(s.refusedInARow, probesMissedMin),
		}
	}
	broken := s.happened.breaks.countSince(s.crash.at - crashWindow)
	if s.crash.at == 0 || broken < rowMin || s.happened.connections.last() >= s.crash.at {
		return finding{}
	}
	return finding{
		fmt.Sprintf("%d connections broke or were refused together, and none stands since; "+
			"the list has it ready", broken),
		grown(broken, rowMin),
	}
}

func (d *Detector) findLateReplies(s *serverState) finding {
	p := &s.replies
	if p.late < lateRepliesMin {
		return finding{}
	}
	return finding{
		fmt.Sprintf("%d answers in a row over %.0f ms where %.1f are usual, %d with the numbers of before",
			p.late, millis(p.lateness()), millis(lowerQuartile(p.elapsed)), p.lateOld),
		grown(p.late, lateRepliesMin),
	}
}

// findFrozenReport leaves a server alone that answers late: that its numbers are old is part of that.
func (d *Detector) findFrozenReport(s *serverState) finding {
	r := &s.report
	repeats := r.at - r.sameSince
	if s.replies.late > 0 || r.at == 0 ||
		r.sameReads < frozenReadsMin || repeats < minFrozen || r.churn < frozenChurnMin {
		return finding{}
	}
	return finding{
		fmt.Sprintf("load %.3f in %d readings over %.1f s, while %d connections came or went",
			r.load, r.sameReads, repeats.Seconds(), r.churn),
		grown(r.churn, frozenChurnMin),
	}
}

// findErrorBurst goes by errors in a window that outnumber connections, or by errors in a row: a relay that
// ejects the server tries it seldom.
func (d *Detector) findErrorBurst(s *serverState) finding {
	h := &s.happened
	n := h.errors.countSince(d.now - burstWindow)
	if n >= burstMin && n > h.connections.countSince(h.errors.first(n)) {
		return finding{fmt.Sprintf("%d errors in %.0f s", n, burstWindow.Seconds()), grown(n, burstMin)}
	}
	if n := h.errors.countSince(max(d.now-rowWindow, h.connections.last())); n >= rowMin {
		return finding{fmt.Sprintf("%d errors in a row", n), grown(n, rowMin)}
	}
	return finding{}
}

func (d *Detector) findSlowSetup(s *serverState) finding {
	latest, peers := s.setups.latest, medianOfSorted(d.setups)
	if !s.setups.isSlow() || len(d.setups) <= peersMin || !muchSlower(latest, peers) {
		return finding{}
	}
	return finding{
		fmt.Sprintf("set-ups take %.0f ms; %.0f at %d peers, %.0f before", millis(latest), millis(peers),
			len(d.setups)-1, millis(s.setups.past())),
		0.9,
	}
}

func (d *Detector) findRestart(s *serverState) finding {
	if s.restart.at == 0 || d.now-s.restart.at >= burstWindow {
		return finding{}
	}
	return finding{s.restart.evidence, 0.8}
}

func (d *Detector) findDrain(s *serverState) finding {
	n := s.happened.sentAway.countSince(d.now - burstWindow)
	if n < sentAwayMin {
		return finding{}
	}
	return finding{
		fmt.Sprintf("%d clients sent away in %.0f s; the list has it ready", n, burstWindow.Seconds()),
		grown(n, sentAwayMin),
	}
}

func (d *Detector) findFlapping(s *serverState) finding {
	n := s.happened.flaps.countSince(d.now - flapWindow)
	if n < flapsMin {
		return finding{}
	}
	return finding{
		fmt.Sprintf("out of the list or back %d times in %.0f s", n, flapWindow.Seconds()),
		grown(n, flapsMin),
	}
}

// findUnevenLoad leaves a server alone that answers late: its load is that of before, and its peers' is not.
func (d *Detector) findUnevenLoad(s *serverState) finding {
	median := medianOfSorted(d.loads)
	over := s.report.load - median
	if s.replies.late > 0 || !s.hasFreshLoad(d.now) || len(d.loads) <= peersMin || over <= max(unevenBy, unevenPart*median) {
		return finding{}
	}
	return finding{
		fmt.Sprintf("load %.2f where the median of %d servers is %.2f", s.report.load, len(d.loads), median),
		min(0.95, 0.5+over/2),
	}
}

// findRejecting goes by a burst without a connection since, or by a server that is full in a row where its
// load says that it is not.
func (d *Detector) findRejecting(s *serverState) finding {
	h := &s.happened
	n := h.full.countSince(d.now - burstWindow)
	if n >= burstMin && h.connections.countSince(h.full.first(n)) == 0 {
		return finding{
			fmt.Sprintf("full to %d in %.0f s, and it takes none; the list has it ready",
				n, burstWindow.Seconds()),
			grown(n, burstMin),
		}
	}
	n = h.full.countSince(max(d.now-rowWindow, h.connections.last()))
	if n >= fullRowMin && s.report.load < fullLoadMax {
		return finding{
			fmt.Sprintf("full to %d in a row at a load of %.2f; the list has it ready", n, s.report.load),
			grown(n, fullRowMin),
		}
	}
	return finding{}
}
