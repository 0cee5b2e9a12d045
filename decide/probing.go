package decide

import (
	"slices"
	"time"
)

// This file decides which backends are probed for a request, and what is learnt from their readings.

// probeThenPlace places a request at once if the pool is fresh; else the pool is topped up first.
func (b *Balancer) probeThenPlace(r *request) {
	r.probesAwaited = b.probeCandidates(r.Group)
	b.queueOrPlace(r)
}

// probeCandidates tops up the pool for a connection of a group, or of none, and returns how many answers will come.
func (b *Balancer) probeCandidates(group uint64) int {
	switch {
	case !b.settings.Probes:
		return 0
	case group != 0:
		return b.topUpReadings(b.groupSubset(group, 1), probesPerPlacement, false)
	}
	return b.topUpReadings(b.serversByZone[b.settings.Zone], probesPerPlacement-b.pruneStaleReadings(), true)
}

func (b *Balancer) queueOrPlace(r *request) {
	wait := min((r.deadline-b.now)/4, 2*b.probeRTT+2*b.settings.Tick)
	if r.probesAwaited == 0 || wait < b.settings.Tick {
		b.placeRequest(r)
		return
	}
	r.phase = phaseQueued
	b.queuedRequests = append(b.queuedRequests, r)
	r.wakeAt = b.now + wait
	b.setTimer(timerRequest, uint64(r.ID), wait)
}

// groupSubset lists a group's backends in an order that all relays agree on, so that its connections, which
// share work where they meet, meet on few; wide is 1, or 2 for twice as many. Only where groups share.
func (b *Balancer) groupSubset(group uint64, wide int) []ServerID {
	b.subsetScratch = b.subsetScratch[:0]
	for _, id := range b.rendezvousOrder(group) {
		if s := &b.servers[id]; (!s.ejected || b.now >= s.ejectedUntil) && len(b.subsetScratch) < wide*probesPerPlacement {
			b.subsetScratch = append(b.subsetScratch, id)
		}
	}
	return b.subsetScratch
}

// rankServers returns the first n of all listed backends in a group's order, or of those that are well.
func (b *Balancer) rankServers(group uint64, n int, well bool) (out []ServerID) {
	top := make([]uint64, n)
	for _, zone := range b.serversByZone {
		for _, id := range zone {
			if s := &b.servers[id]; well && s.ejected && b.now < s.ejectedUntil {
				continue
			}
			rank := (b.servers[id].RendezvousKey ^ group) * 0x9e3779b97f4a7c15
			rank = (rank ^ rank>>29) * 0xbf58476d1ce4e5b9
			if len(out) < n {
				out = append(out, -1)
			}
			for j := range out { // keep the best in order
				if rank > top[j] || out[j] < 0 {
					rank, top[j] = top[j], rank
					id, out[j] = out[j], id
				}
			}
		}
	}
	return out
}

// topUpReadings probes up to n backends of a list, at random or in order, and returns how many answers are worth
// waiting for. A bad one met on the way is probed too once its time is up, but nobody waits for it.
func (b *Balancer) topUpReadings(list []ServerID, n int, random bool) (need int) {
	for i := 0; i < len(list) && need < n; i++ {
		if random {
			b.swapInZone(list, i, i+b.rng.IntN(len(list)-i))
		}
		s := &b.servers[list[i]]
		if s.ejected && b.now < s.ejectedUntil || s.readAt >= 0 && b.now-s.readAt <= b.readingMaxAge() {
			continue
		}
		b.sendProbe(list[i])
		if !s.ejected {
			need++
		}
	}
	return need
}

func (b *Balancer) recordProbeResult(e ProbeResult) {
	s := b.stateOf(e.Server)
	s.probePendingUntil = 0
	switch {
	case e.Status == OK:
		if s.ejected && s.consecutiveErrors == 0 && e.Report.Load < b.poolLoadMean/2 {
			s.startSlowStart(b.now) // it holds next to nothing: a new process, which the list will tell of later
		}
		s.dropReported(b.now - loadReportDelay)
		if s.missedProbes, s.unansweredProbes = 0, 0; s.consecutiveErrors == 0 || b.now >= s.ejectedUntil {
			s.ejected = false
		}
		b.probeRTT = max(e.Latency, b.probeRTT-b.probeRTT/4)
		b.recordReading(s, e)
	case e.Status == AtCapacity || e.Status == Superseded: // too many probes; it says nothing of its health
	default:
		b.ejectServer(s, e.Status)
		if s.missedProbes++; e.Status == Errored {
			s.unansweredProbes = 0
		} else {
			s.unansweredProbes++
		}
		// It is probed again after a back-off, not on every arrival that meets it.
		s.ejectedUntil = b.now + b.jitteredBackoff(readingFreshFor/2, s.missedProbes-failuresBeforeReaction, ejectionBackoff)
	}
	if len(s.connections) > 0 && (e.Status == OK || s.unansweredProbes > 0) { // one that answers with an error still serves them
		b.rebalanceServer(e.Server, s)
	}
	for _, r := range slices.Clone(b.queuedRequests) { // some wait on meanwhile, for another zone's answers
		if r.probesAwaited--; r.probesAwaited < 1 {
			b.dequeueRequest(r)
			b.placeRequest(r)
		}
	}
}

func (b *Balancer) recordReading(s *serverState, e ProbeResult) {
	s.readLoad = max(e.Report.Load, e.Report.CPUUtilization)
	if s.loadGuessed = s.readLoad < 0; s.loadGuessed {
		s.readLoad = b.guessLoad(s, e.Latency)
	} else {
		b.learnLoadPerConnection(s, e.Report)
	}
	if s.ejected || s.zoneIndex < 0 {
		return
	}
	s.readAt = b.now
	if !s.inPool {
		s.inPool = true
		b.pool = append(b.pool, e.Server)
	}
}

// guessLoad is a load that no report tells. One that answers probes late is overdriven; else what this
// relay holds there is all there is, as at a start, or where no quota says what that adds, its part of it.
func (b *Balancer) guessLoad(s *serverState, took time.Duration) float64 {
	own := func(n int) float64 { return float64(n) + uninformativeConnections }
	if b.recordProbeLatency(took) && b.warmLoadMean == 0 {
		return 1
	} else if b.totalConnectionQuota > 0 {
		return min(float64(len(s.connections)*b.settings.Relays)*b.quotaLoadPerConnection(), rebalanceTargetLoad)
	}
	return min(watchedLoad*own(len(s.connections))/own(b.ownConnections/max(b.listedCount(), 1)), rebalanceTargetLoad)
}

// learnLoadPerConnection follows what a connection adds to a warm backend's load: mean load over mean connections held, or
// what all relays hold where no report counts them. Quotas bound it, as who holds few has seen too little.
func (b *Balancer) learnLoadPerConnection(s *serverState, report LoadReport) {
	if b.capacityFraction(s) < 1 {
		return
	}
	conns := report.InFlight
	if conns < 0 {
		conns = b.fleetConnections() / float64(max(b.listedCount(), 1))
	}
	b.warmLoadMean += (s.readLoad - b.warmLoadMean) / 8
	b.warmConnectionsMean += (conns - b.warmConnectionsMean) / 8
	if b.warmConnectionsMean >= 1 {
		b.learnedLoadPerConnection = b.warmLoadMean / b.warmConnectionsMean
	}
	if mean := b.quotaLoadPerConnection(); mean > 0 {
		b.learnedLoadPerConnection = min(b.learnedLoadPerConnection, maxLoadOverQuotaMean*mean)
	}
}

// quotaLoadPerConnection is what a connection adds by what the tenants' quotas make of it, 0 where those are not told.
func (b *Balancer) quotaLoadPerConnection() float64 {
	b.maxListed = max(b.maxListed, b.listedCount()) // not fewer: a quota does not follow a crash
	if b.totalConnectionQuota == 0 {
		return 0
	}
	return quotaCapacityShare * float64(b.maxListed) / b.totalConnectionQuota
}

// loadPerConnection is what one more connection is taken to add. A relay that holds few has seen few.
func (b *Balancer) loadPerConnection() float64 {
	return max(b.learnedLoadPerConnection, b.quotaLoadPerConnection())
}
