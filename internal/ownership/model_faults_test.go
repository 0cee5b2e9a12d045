package ownership

import "time"

const (
	modelStep         = 50 * time.Millisecond  // time between two checks of all relays
	modelTick         = 250 * time.Millisecond // between two ticks of a relay
	modelReleaseDelay = 950 * time.Millisecond // time that a stuck client delays the end of a stream
	modelStarvation   = 8 * time.Second        // longer than modelSession
)

// randomUpTo returns a random duration of less than limit.
func (m *model) randomUpTo(limit time.Duration) time.Duration { return scale(limit, m.rng.Float64()) }

// disconnect closes a relay's connection to the service. Requests in flight may still be executed, but their
// replies are lost.
func (m *model) disconnect(i int) {
	r := m.relays[i]
	if !r.connected {
		return
	}
	for n := m.rng.IntN(len(r.requests) + 1); n > 0; n-- {
		m.executeNextRequest(i)
	}
	unanswered := r.requests
	r.connected, r.requests = false, nil
	for _, f := range unanswered {
		m.deliver(i, Reply{RequestID: f.request.ID, Code: NoReply})
	}
	m.deliver(i, SessionDisconnected{})
}

// connect resumes a relay's session, or starts a new one if it has expired.
func (m *model) connect(i int) {
	r := m.relays[i]
	if r.connected {
		return
	}
	if _, alive := m.svc.seenAt[r.session]; !alive {
		if r.session != 0 {
			r.session = 0
			m.deliver(i, SessionExpired{})
		}
		m.svc.lastSession++
		r.session = m.svc.lastSession
	}
	m.svc.seenAt[r.session] = m.svc.now
	r.connected = true
	m.deliver(i, SessionConnected{r.session, modelSession, m.localTime(r)})
}

// executeNextRequest lets the service execute a relay's next request.
func (m *model) executeNextRequest(i int) {
	r := m.relays[i]
	for _, f := range r.requests {
		if f.done {
			continue
		}
		if _, alive := m.svc.seenAt[r.session]; !alive {
			return // the service would close the connection of an expired session
		}
		m.svc.seenAt[r.session] = m.svc.now
		if f.request.ID != 0 {
			f.reply = m.svc.execute(r.session, f.request)
			if f.reply.Code == holderOwnedByOther {
				m.fail("relay %d deletes the holder of another session: %+v", i, f.request)
			}
		}
		f.done = true
		return
	}
}

// deliverNextReply passes a relay its next reply.
func (m *model) deliverNextReply(i int) {
	r := m.relays[i]
	if len(r.requests) == 0 || !r.requests[0].done {
		return
	}
	f := r.requests[0]
	r.requests = r.requests[1:]
	m.deliver(i, SessionRenewed{f.sentAt})
	if f.request.ID != 0 {
		m.deliver(i, f.reply)
	}
}

// wakeRelay ends a relay's pause. Streams whose lease ended during the pause no longer forward lines, as the
// relay checks the clock before each line; their connections to servers stay open until the relay ends them.
func (m *model) wakeRelay(i int) {
	r := m.relays[i]
	r.paused = false
	for _, c := range r.callers {
		c.pausedPastLease = c.pausedPastLease || c.owned && m.localTime(r) >= r.lease.ValidUntil()
	}
	m.deliver(i, Tick{})
}

// advanceTime lets time pass in steps of modelStep. In each step every relay that is not paused checks its
// clock and its callers.
func (m *model) advanceTime(d time.Duration) {
	for end := m.svc.now + d; m.svc.now < end; {
		m.svc.now += min(modelStep, end-m.svc.now)
		m.svc.expireSessions()
		m.checkSingleOwner()
		for i, r := range m.relays {
			if !r.paused {
				m.runAwakeRelay(i)
			}
		}
	}
}

// runAwakeRelay does what a relay that is not paused does as time passes.
func (m *model) runAwakeRelay(i int) {
	r := m.relays[i]
	if _, alive := m.svc.seenAt[r.session]; r.connected && !alive {
		m.disconnect(i)
	}
	m.releaseExpired(i)
	if m.localTime(r)-r.lastTick < modelTick {
		return
	}
	r.lastTick = m.localTime(r)
	m.deliver(i, Tick{})
	if r.connected && len(r.requests) < 20 {
		r.requests = append(r.requests, &inFlightRequest{sentAt: r.lastTick}) // a ping
	}
}

// releaseExpired releases callers whose lease has expired, modelReleaseDelay after the expiry.
func (m *model) releaseExpired(i int) {
	r := m.relays[i]
	for _, c := range r.sortedCallers() {
		if c.expiredAt != 0 && m.localTime(r)-c.expiredAt >= modelReleaseDelay {
			m.release(i, c)
		}
	}
}

// randomStep executes one random operation or fault.
func (m *model) randomStep() {
	i := m.rng.IntN(len(m.relays))
	r, s := m.relays[i], m.rng.IntN(len(m.streams))
	if r.paused && m.rng.IntN(8) != 0 {
		m.advanceTime(m.randomUpTo(300 * time.Millisecond))
		return
	}
	if r.paused {
		m.wakeRelay(i)
		return
	}
	switch m.rng.IntN(20) {
	case 0:
		if m.rng.IntN(4*m.faultRarity) == 0 {
			m.disconnect(i)
		}
	case 1, 2:
		m.connect(i)
	case 3:
		if m.rng.IntN(6*m.faultRarity) == 0 {
			r.paused = true
		}
	case 4:
		m.advanceTime(m.randomUpTo(400 * time.Millisecond / time.Duration(m.faultRarity)))
	case 6:
		if m.rng.IntN(10*m.faultRarity) == 0 {
			m.advanceTime(m.randomUpTo(8 * time.Second))
		}
		if m.rng.IntN(4*m.faultRarity) == 0 {
			m.starveRelay(i, s)
		}
	case 7, 8, 9:
		m.openStream(i, s)
	case 5, 10: // a caller is finished, or its client has disconnected before the answer
		if all := r.sortedCallers(); len(all) > 0 {
			m.release(i, all[0])
		}
	case 11, 12:
		m.extendRecords(i)
	case 13, 14, 15, 16:
		m.executeNextRequest(i)
	default:
		m.deliverNextReply(i)
	}
}

// openStream starts a new stream, or resumes one with one of its newest three tokens, sometimes with a
// fencing token that was never issued.
func (m *model) openStream(i, s int) {
	if known := m.tokens[s]; len(known) > 0 {
		newest := len(known) - 1
		clientToken := known[max(0, newest-m.rng.IntN(3))]
		forged := uint64(m.rng.IntN(12) / 11)
		m.acquire(i, s, clientToken+forged)
		return
	}
	fresh := m.svc.nodes[m.streams[s]] == nil
	for _, o := range m.relays {
		for _, c := range o.callers {
			fresh = fresh && c.stream != s // two relays never create the same stream id
		}
	}
	if fresh && len(m.relays[i].callers) == 0 {
		m.acquire(i, s, 0)
	}
}

// extendRecords extends the records of all streams that a relay owns, at random with TokenDelivered.
func (m *model) extendRecords(i int) {
	for _, c := range m.relays[i].sortedCallers() {
		if c.owned && c.expiredAt == 0 {
			delivered := m.rng.IntN(2) == 0
			expires := 1<<40 + int64(m.rng.IntN(3))
			m.deliver(i, ExtendRecord{c.handle, delivered, expires})
		}
	}
}

// starveRelay answers no request of one relay for longer than its session, while another relay is answered at
// once and keeps trying to acquire the stream that the first one owns. It tests the interval between the end
// of the first ownership and the start of the second.
func (m *model) starveRelay(starved, s int) {
	i := (starved + 1) % len(m.relays)
	r := m.relays[i]
	for end := m.svc.now + modelStarvation; m.svc.now < end && !r.paused; {
		m.connect(i)
		for range 4 {
			m.executeNextRequest(i)
			m.deliverNextReply(i)
		}
		if known := m.tokens[s]; len(known) > 0 && len(r.callers) == 0 {
			m.acquire(i, s, known[len(known)-1])
		}
		m.advanceTime(modelStep)
	}
}

// runWithoutFaults lets time pass with all relays awake, connected and answered.
func (m *model) runWithoutFaults(d time.Duration) {
	for range d / modelStep {
		m.advanceTime(modelStep)
		for i, r := range m.relays {
			if r.paused {
				m.wakeRelay(i)
			}
			m.connect(i)
			for len(r.requests) > 0 && r.connected {
				before := len(r.requests)
				m.executeNextRequest(i)
				m.deliverNextReply(i)
				if len(r.requests) >= before && !r.requests[0].done {
					break
				}
			}
		}
	}
}
