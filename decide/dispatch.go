package decide

import "slices"

// probesAwaitedForList marks a request that waits for the first endpoint list: so many results of probes
// never come.
const probesAwaitedForList = 1 << 30

// dispatcher takes each request from its arrival to an attempt or a final answer.
type dispatcher struct {
	*environment
	endpoints  *endpointSet
	requests   *requestTable
	pool       *probePool
	affinity   *groupAffinity
	placement  *placement
	admission  *admission
	timeouts   *setupTimeouts
	polling    *discoveryPolling
	rejections *rejectionRule
}

// probeThenPlace places a request at once if there are fresh readings; else servers are probed first.
func (d *dispatcher) probeThenPlace(r *request) {
	r.probesAwaited = d.probeCandidates(r.Group)
	d.queueOrPlace(r)
}

// probeCandidates has servers probed for a connection of a group, or of none (0), and returns how many
// results are worth waiting for.
func (d *dispatcher) probeCandidates(group uint64) (awaited int) {
	switch {
	case !d.settings.Probes:
		return 0
	case group != 0:
		return d.pool.topUpReadings(d.affinity.groupSubset(group, 1), probesPerPlacement, false)
	}
	return d.pool.topUpHomeZone()
}

// queueOrPlace has a request wait for the probes that it awaits, for a quarter of the time left at the most.
func (d *dispatcher) queueOrPlace(r *request) {
	wait := min((r.deadline-d.now)/4, d.pool.probeWait())
	if r.probesAwaited == 0 || wait < d.settings.Tick {
		d.placeRequest(r)
		return
	}
	d.requests.queueRequest(r, wait)
}

// placeRequest decides a request that has waited long enough: it is forwarded, rejected, or waits on for
// probes of servers farther off.
func (d *dispatcher) placeRequest(r *request) {
	pick, cost := d.placement.pickCheapest(r)
	if d.tryOtherZone(r, cost) {
		return
	}
	if pick < 0 {
		pick = d.placement.pickFallback(r)
	}
	switch {
	case pick < 0 && d.awaitFirstList(r):
	case pick < 0:
		d.rejections.rejectRequest(r, NoServer)
	case d.admission.drawAdmission(&d.endpoints.servers[pick]):
		d.forward(r, pick)
	case !d.widenSubset(r):
		d.rejections.rejectRequest(r, NoCapacity)
	}
}

// forward starts the request's next attempt.
func (d *dispatcher) forward(r *request, to ServerID) {
	r.server, r.phase, r.lastSentAt = to, phaseInFlight, d.now
	r.attempts++
	d.endpoints.servers[to].reading.recordPlacement(d.now)
	d.requests.addConnection(r)
	d.emit(Forward{ID: r.ID, Server: to, Timeout: d.timeouts.setupTimeout(r)})
}

// tryOtherZone has servers of another zone probed for a request, once, where its own zone is lost or so
// loaded that to cross costs less; the first reading from there will do. It returns whether the request waits
// for it, or is decided.
func (d *dispatcher) tryOtherZone(r *request, cost float64) bool {
	settings := &d.settings
	if r.triedOtherZone || !settings.Probes || settings.Zones <= 1 || cost <= settings.Prices.CrossZone {
		return false
	}
	r.triedOtherZone = true
	other := (settings.Zone + 1 + Zone(d.rng.IntN(settings.Zones-1))) % Zone(settings.Zones)
	awaited := d.pool.topUpReadings(d.endpoints.serversByZone[other], probesPerPlacement/2, true)
	if r.probesAwaited = min(1, awaited); r.probesAwaited == 0 {
		return false
	}
	d.queueOrPlace(r)
	return true
}

// widenSubset has as many more servers of its group's rendezvous order probed for a request whose subset is
// full, once. It returns whether the request goes on so.
func (d *dispatcher) widenSubset(r *request) bool {
	if r.Group == 0 || r.subsetWidened > 0 {
		return false
	}
	r.subsetWidened = 1
	r.probesAwaited = d.pool.topUpReadings(d.affinity.groupSubset(r.Group, 2), probesPerPlacement, false)
	d.queueOrPlace(r)
	return true
}

// awaitFirstList holds a request of a relay that has just started until its first endpoint list has a
// server to use, once and for half of the time that is left; false if there is nothing to wait for. The
// first poll is made sooner for it: a relay that starts alone need not wait for its phase offset.
func (d *dispatcher) awaitFirstList(r *request) bool {
	if r.awaitedFirstList || !d.polling.awaitsFirstList() {
		return false
	}
	d.polling.expediteFirstPoll()
	wait := (r.deadline - d.now) / 2
	if wait < max(d.settings.Tick, d.polling.pollSpread()/2) { // the list would come too late
		return false
	}
	r.awaitedFirstList, r.probesAwaited = true, probesAwaitedForList
	d.requests.queueRequest(r, wait)
	return true
}

// releaseListWaiters goes on with the requests that wait for the first endpoint list, if there is one now.
func (d *dispatcher) releaseListWaiters() {
	if !d.polling.recordList(d.endpoints.listedCount()) {
		return
	}
	for _, r := range slices.Clone(d.requests.queuedRequests) {
		if r.awaitedFirstList && r.phase == phaseQueued {
			d.requests.dequeueRequest(r)
			d.probeThenPlace(r)
		}
	}
}

// countProbeResult goes on with the requests for which this was the last result that they awaited. Some
// wait on meanwhile, for another zone's.
func (d *dispatcher) countProbeResult() {
	for _, r := range slices.Clone(d.requests.queuedRequests) {
		if r.probesAwaited--; r.probesAwaited < 1 {
			d.requests.dequeueRequest(r)
			d.placeRequest(r)
		}
	}
}

// resume goes on with a request whose timer has fired.
func (d *dispatcher) resume(id RequestID) {
	r := d.requests.requests[id]
	if r == nil || d.now < r.wakeAt {
		return
	}
	switch r.phase {
	case phaseQueued:
		d.requests.dequeueRequest(r)
		d.placeRequest(r)
	case phaseBackoff:
		d.probeThenPlace(r)
	}
}
