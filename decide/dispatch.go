package decide

import "slices"

// probesAwaitedForList marks a request that waits for the first endpoint list: a number of probe results that
// is never reached.
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

// probeThenPlace places a request at once if there are enough fresh readings, or else after probes.
func (d *dispatcher) probeThenPlace(r *request) {
	r.probesAwaited = d.probeCandidates(r.Group)
	d.queueOrPlace(r)
}

// probeCandidates probes servers for a connection of a group, or of no group (0), and returns how many
// results to wait for.
func (d *dispatcher) probeCandidates(group uint64) (awaited int) {
	switch {
	case !d.settings.Probes:
		return 0
	case group != 0:
		return d.pool.refreshReadings(d.affinity.groupSubset(group, 1), probesPerPlacement, false)
	}
	return d.pool.refreshHomeZone()
}

// queueOrPlace queues a request until the probes it awaits have results, for at most a quarter of its time
// left.
func (d *dispatcher) queueOrPlace(r *request) {
	wait := min((r.deadline-d.now)/4, d.pool.probeWait())
	if r.probesAwaited == 0 || wait < d.settings.Tick {
		d.placeRequest(r)
		return
	}
	d.requests.queueRequest(r, wait)
}

// placeRequest decides a request that no longer waits: it is forwarded, rejected, or queued again for probes
// of more distant servers.
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

// tryOtherZone probes servers of one other zone for a request, once, if the home zone has no eligible server
// or is so loaded that crossing zones costs less. The first reading from there is enough to decide. It
// reports whether the request has been queued or decided.
func (d *dispatcher) tryOtherZone(r *request, cost float64) bool {
	settings := &d.settings
	if r.triedOtherZone || !settings.Probes || settings.Zones <= 1 || cost <= settings.Prices.CrossZone {
		return false
	}
	r.triedOtherZone = true
	other := (settings.Zone + 1 + Zone(d.rng.IntN(settings.Zones-1))) % Zone(settings.Zones)
	awaited := d.pool.refreshReadings(d.endpoints.serversByZone[other], probesPerPlacement/2, true)
	if r.probesAwaited = min(1, awaited); r.probesAwaited == 0 {
		return false
	}
	d.queueOrPlace(r)
	return true
}

// widenSubset doubles the subset of the group of a request whose subset is full, once, and probes the servers
// added. It reports whether the request has been queued or decided.
func (d *dispatcher) widenSubset(r *request) bool {
	if r.Group == 0 || r.subsetWidened > 0 {
		return false
	}
	r.subsetWidened = 1
	r.probesAwaited = d.pool.refreshReadings(d.affinity.groupSubset(r.Group, 2), probesPerPlacement, false)
	d.queueOrPlace(r)
	return true
}

// awaitFirstList queues a request of a relay that has just started until the first endpoint list with a ready
// server, once and for half of its time left. It reports false if there is no list to wait for. The first
// poll is moved forward, so that a relay that starts alone need not wait for its phase offset.
func (d *dispatcher) awaitFirstList(r *request) bool {
	if r.awaitedFirstList || !d.polling.awaitsFirstList() {
		return false
	}
	d.polling.advanceFirstPoll()
	wait := (r.deadline - d.now) / 2
	if wait < max(d.settings.Tick, d.polling.pollSpread()/2) { // the list would arrive too late
		return false
	}
	r.awaitedFirstList, r.probesAwaited = true, probesAwaitedForList
	d.requests.queueRequest(r, wait)
	return true
}

// releaseListWaiters continues the requests that wait for the first endpoint list, once it has come.
func (d *dispatcher) releaseListWaiters() {
	if !d.polling.recordListedServers(d.endpoints.listedCount()) {
		return
	}
	for _, r := range slices.Clone(d.requests.queuedRequests) {
		if r.awaitedFirstList && r.phase == phaseQueued {
			d.requests.dequeueRequest(r)
			d.probeThenPlace(r)
		}
	}
}

// countProbeResult counts one probe result for every queued request, and places the requests that have all
// the results they await.
func (d *dispatcher) countProbeResult() {
	for _, r := range slices.Clone(d.requests.queuedRequests) {
		if r.probesAwaited--; r.probesAwaited < 1 {
			d.requests.dequeueRequest(r)
			d.placeRequest(r)
		}
	}
}

// resumeRequest continues a request whose timer has fired.
func (d *dispatcher) resumeRequest(id RequestID) {
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
