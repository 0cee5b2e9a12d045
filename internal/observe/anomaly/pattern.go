package anomaly

import (
	"fmt"
	"math"
	"time"

	"capersail/decide"
)

// Thresholds of the patterns.
const (
	burstWindow  = 3 * time.Second
	minBurst     = 4           // errors or rejections in burstWindow that make a burst
	minInARow    = 3           // failures in a row that count like a burst
	inARowWindow = time.Minute // in which they are in a row

	minMissedProbes = 2 // in a row
	minLateReplies  = 2 // in a row

	minFrozenTime              = 4 * time.Second // for which a load report must repeat
	minFrozenReadings          = 5               // readings that must repeat it
	minFrozenConnectionChanges = 4               // connections that must begin or end meanwhile

	minDisconnectedClients = 2 // client connections that the server ends in burstWindow

	minFlaps   = 4
	flapWindow = time.Minute

	minExcessLoad         = 0.35            // minimum excess over the peers' median load
	minExcessLoadFraction = 0.5             // minimum excess as a fraction of that median
	maxLoadReportAge      = 4 * time.Second // beyond which a load report no longer describes the present

	minAtCapacityInARow = 2 // rejections as at capacity in a row
	maxRejectingLoad    = 0.7
)

// finding is the result of looking for a pattern: the evidence, "" if the pattern is absent, and the
// confidence from 0 to 1.
type finding struct {
	evidence   string
	confidence float64
}

// patterns holds the pattern functions for single servers, by kind.
var patterns = [EndpointListUnreachable]func(*Detector, *serverState) finding{
	Unresponsive:       (*Detector).findUnresponsive,
	Unreachable:        (*Detector).findUnreachable,
	LateProbeReplies:   (*Detector).findLateReplies,
	FrozenReport:       (*Detector).findFrozenReport,
	ErrorBurst:         (*Detector).findErrorBurst,
	SlowSetup:          (*Detector).findSlowSetup,
	UnannouncedRestart: (*Detector).findUnannouncedRestart,
	UnannouncedDrain:   (*Detector).findUnannouncedDrain,
	Flapping:           (*Detector).findFlapping,
	UnevenLoad:         (*Detector).findUnevenLoad,
	RejectingAll:       (*Detector).findRejectingAll,
}

// findPattern looks for the pattern of a kind at a server. A server that is not ready in the endpoint list is
// checked for flapping only.
func (d *Detector) findPattern(k Kind, s *serverState) finding {
	if s.endpointState != decide.Ready && k != Flapping {
		return finding{}
	}
	return patterns[k](d, s)
}

// evidenceConfidence returns the confidence in a pattern that has n pieces of evidence and needs minimum of
// them. Each further piece halves the doubt.
func evidenceConfidence(n, minimum int) float64 { return 1 - math.Pow(0.5, float64(n-minimum+2)) }

func (d *Detector) findUnresponsive(s *serverState) finding {
	if s.missedProbes < minMissedProbes {
		return finding{}
	}
	return finding{
		fmt.Sprintf("%d probes in a row without an answer, no reset", s.missedProbes),
		evidenceConfidence(s.missedProbes, minMissedProbes),
	}
}

// findUnreachable looks for refused connections in a row, or for connections that all broke together: a relay
// that has ejected the server may not try it again for a long time.
func (d *Detector) findUnreachable(s *serverState) finding {
	if s.refusedConnections >= minMissedProbes {
		return finding{
			fmt.Sprintf("%d connections in a row refused; the list has it ready", s.refusedConnections),
			evidenceConfidence(s.refusedConnections, minMissedProbes),
		}
	}
	broken := s.history.brokenConnections.countSince(s.crash.at - crashWindow)
	if s.crash.at == 0 || broken < minInARow || s.history.connections.newest() >= s.crash.at {
		return finding{}
	}
	return finding{
		fmt.Sprintf("%d connections broke or were refused together, and none stands since; "+
			"the list has it ready", broken),
		evidenceConfidence(broken, minInARow),
	}
}

func (d *Detector) findLateReplies(s *serverState) finding {
	p := &s.replies
	if p.lateInARow < minLateReplies {
		return finding{}
	}
	return finding{
		fmt.Sprintf("%d answers in a row over %.0f ms where %.1f are usual, %d with the numbers of before",
			p.lateInARow, millis(p.lateThreshold()), millis(lowerQuartile(p.onTime)), p.lateUnchanged),
		evidenceConfidence(p.lateInARow, minLateReplies),
	}
}

// findFrozenReport ignores a server that answers late, since its outdated load reports are part of
// LateProbeReplies.
func (d *Detector) findFrozenReport(s *serverState) finding {
	r := &s.report
	repeats := r.at - r.unchangedSince
	if s.replies.lateInARow > 0 || r.at == 0 ||
		r.unchangedReadings < minFrozenReadings || repeats < minFrozenTime ||
		r.connectionChanges < minFrozenConnectionChanges {
		return finding{}
	}
	return finding{
		fmt.Sprintf("load %.3f in %d readings over %.1f s, while %d connections came or went",
			r.load, r.unchangedReadings, repeats.Seconds(), r.connectionChanges),
		evidenceConfidence(r.connectionChanges, minFrozenConnectionChanges),
	}
}

// findErrorBurst looks for errors that outnumber connections in a window, or for errors in a row: a relay
// that has ejected the server seldom tries it, so that a window has too few errors.
func (d *Detector) findErrorBurst(s *serverState) finding {
	h := &s.history
	n := h.errors.countSince(d.now - burstWindow)
	if n >= minBurst && n > h.connections.countSince(h.errors.nthNewest(n)) {
		return finding{fmt.Sprintf("%d errors in %.0f s", n, burstWindow.Seconds()),
			evidenceConfidence(n, minBurst)}
	}
	if n := h.errors.countSince(max(d.now-inARowWindow, h.connections.newest())); n >= minInARow {
		return finding{fmt.Sprintf("%d errors in a row", n), evidenceConfidence(n, minInARow)}
	}
	return finding{}
}

func (d *Detector) findSlowSetup(s *serverState) finding {
	latest, peers := s.setups.currentMedian, medianOfSorted(d.peerSetups)
	if !s.setups.isSlowerThanTypical() || len(d.peerSetups) <= minPeers || !muchSlower(latest, peers) {
		return finding{}
	}
	return finding{
		fmt.Sprintf("set-ups take %.0f ms; %.0f at %d peers, %.0f before", millis(latest), millis(peers),
			len(d.peerSetups)-1, millis(s.setups.typicalTime())),
		0.9,
	}
}

func (d *Detector) findUnannouncedRestart(s *serverState) finding {
	if s.restart.at == 0 || d.now-s.restart.at >= burstWindow {
		return finding{}
	}
	return finding{s.restart.evidence, 0.8}
}

func (d *Detector) findUnannouncedDrain(s *serverState) finding {
	n := s.history.disconnectedClients.countSince(d.now - burstWindow)
	if n < minDisconnectedClients {
		return finding{}
	}
	return finding{
		fmt.Sprintf("%d clients sent away in %.0f s; the list has it ready", n, burstWindow.Seconds()),
		evidenceConfidence(n, minDisconnectedClients),
	}
}

func (d *Detector) findFlapping(s *serverState) finding {
	n := s.history.flaps.countSince(d.now - flapWindow)
	if n < minFlaps {
		return finding{}
	}
	return finding{
		fmt.Sprintf("out of the list or back %d times in %.0f s", n, flapWindow.Seconds()),
		evidenceConfidence(n, minFlaps),
	}
}

// findUnevenLoad ignores a server that answers late: its load report is outdated and cannot be compared with
// those of its peers.
func (d *Detector) findUnevenLoad(s *serverState) finding {
	median := medianOfSorted(d.peerLoads)
	over := s.report.load - median
	if s.replies.lateInARow > 0 || !s.hasFreshLoad(d.now) || len(d.peerLoads) <= minPeers ||
		over <= max(minExcessLoad, minExcessLoadFraction*median) {
		return finding{}
	}
	return finding{
		fmt.Sprintf("load %.2f where the median of %d servers is %.2f",
			s.report.load, len(d.peerLoads), median),
		min(0.95, 0.5+over/2),
	}
}

// findRejectingAll looks for a burst of rejections with no connection since, or for rejections in a row by a
// server whose load report says that it has capacity.
func (d *Detector) findRejectingAll(s *serverState) finding {
	h := &s.history
	n := h.atCapacity.countSince(d.now - burstWindow)
	if n >= minBurst && h.connections.countSince(h.atCapacity.nthNewest(n)) == 0 {
		return finding{
			fmt.Sprintf("full to %d in %.0f s, and it takes none; the list has it ready",
				n, burstWindow.Seconds()),
			evidenceConfidence(n, minBurst),
		}
	}
	n = h.atCapacity.countSince(max(d.now-inARowWindow, h.connections.newest()))
	if n >= minAtCapacityInARow && s.report.load < maxRejectingLoad {
		return finding{
			fmt.Sprintf("full to %d in a row at a load of %.2f; the list has it ready", n, s.report.load),
			evidenceConfidence(n, minAtCapacityInARow),
		}
	}
	return finding{}
}
