package ownership

import "time"

const (
	modelStep    = 50 * time.Millisecond  // in which time passes
	modelTick    = 250 * time.Millisecond // between two ticks of a relay
	modelEnding  = 950 * time.Millisecond // for which a stuck client holds up the end of a stream
	modelStarved = 8 * time.Second
)

// upTo draws a duration.
func (w *world) upTo(most time.Duration) time.Duration { return scale(most, w.rng.Float64()) }

// disconnect cuts a relay's connection. What was under way may still be done; no reply comes.
func (w *world) disconnect(i int) {
	r := w.relays[i]
	if !r.connected {
		return
	}
	for n := w.rng.IntN(len(r.wire) + 1); n > 0; n-- {
		w.serve(i)
	}
	wire := r.wire
	r.connected, r.wire = false, nil
	for _, f := range wire {
		w.deliver(i, Reply{RequestID: f.request.ID, Code: NoReply})
	}
	w.deliver(i, SessionDisconnected{})
}

// connect takes up a relay's session, or begins another if that has expired.
func (w *world) connect(i int) {
	r := w.relays[i]
	if r.connected {
		return
	}
	if _, stands := w.svc.heard[r.session]; !stands {
		if r.session != 0 {
			r.session = 0
			w.deliver(i, SessionExpired{})
		}
		w.svc.sessions++
		r.session = w.svc.sessions
	}
	w.svc.heard[r.session] = w.svc.now
	r.connected = true
	w.deliver(i, SessionConnected{r.session, modelSession, w.local(r)})
}

// serve lets the service do a relay's next request.
func (w *world) serve(i int) {
	r := w.relays[i]
	for _, f := range r.wire {
		if f.done {
			continue
		}
		if _, stands := w.svc.heard[r.session]; !stands {
			return // it would close the connection
		}
		w.svc.heard[r.session] = w.svc.now
		if f.request.ID != 0 {
			f.reply = w.svc.do(r.session, f.request)
			if f.reply.Code == holderOfAnother {
				w.fail("relay %d deletes another's holder: %+v", i, f.request)
			}
		}
		f.done = true
		return
	}
}

// deliverReply lets a relay have its next reply.
func (w *world) deliverReply(i int) {
	r := w.relays[i]
	if len(r.wire) == 0 || !r.wire[0].done {
		return
	}
	f := r.wire[0]
	r.wire = r.wire[1:]
	w.deliver(i, SessionRenewed{f.sentAt})
	if f.request.ID != 0 {
		w.deliver(i, f.reply)
	}
}

// wake ends a relay's sleep. What it slept past the end of its lease forwards no line again, as it looks at
// the clock before each; its connections to servers stand until it has ended them.
func (w *world) wake(i int) {
	r := w.relays[i]
	r.paused = false
	for _, c := range r.callers {
		c.sleptPastLease = c.sleptPastLease || c.owned && w.local(r) >= r.lease.ValidUntil()
	}
	w.deliver(i, Tick{})
}

// pass lets time go by in steps in which every relay that is awake looks at its clock and its callers.
func (w *world) pass(d time.Duration) {
	for end := w.svc.now + d; w.svc.now < end; {
		w.svc.now += min(modelStep, end-w.svc.now)
		w.svc.expire()
		w.checkSingleOwner()
		for i, r := range w.relays {
			if !r.paused {
				w.awake(i)
			}
		}
	}
}

// awake is what a relay does as time passes.
func (w *world) awake(i int) {
	r := w.relays[i]
	if _, stands := w.svc.heard[r.session]; r.connected && !stands {
		w.disconnect(i)
	}
	w.releaseExpired(i)
	if w.local(r)-r.tickedAt < modelTick {
		return
	}
	r.tickedAt = w.local(r)
	w.deliver(i, Tick{})
	if r.connected && len(r.wire) < 20 {
		r.wire = append(r.wire, &inFlight{sentAt: r.tickedAt}) // a ping
	}
}

// releaseExpired ends callers whose lease has expired, once a stuck client may hold them up no longer.
func (w *world) releaseExpired(i int) {
	r := w.relays[i]
	for _, c := range r.sorted() {
		if c.expiredAt != 0 && w.local(r)-c.expiredAt >= modelEnding {
			w.release(i, c)
		}
	}
}

// step is one move of the adversary.
func (w *world) step() {
	i := w.rng.IntN(len(w.relays))
	r, s := w.relays[i], w.rng.IntN(len(w.streams))
	if r.paused && w.rng.IntN(8) != 0 {
		w.pass(w.upTo(300 * time.Millisecond))
		return
	}
	if r.paused {
		w.wake(i)
		return
	}
	switch w.rng.IntN(20) {
	case 0:
		if w.rng.IntN(4*w.calm) == 0 {
			w.disconnect(i)
		}
	case 1, 2:
		w.connect(i)
	case 3:
		if w.rng.IntN(6*w.calm) == 0 {
			r.paused = true
		}
	case 4:
		w.pass(w.upTo(400 * time.Millisecond / time.Duration(w.calm)))
	case 6:
		if w.rng.IntN(10*w.calm) == 0 {
			w.pass(w.upTo(8 * time.Second))
		}
		if w.rng.IntN(4*w.calm) == 0 {
			w.starve(i, s)
		}
	case 7, 8, 9:
		w.open(i, s)
	case 5, 10: // a caller is done, or its client has left before it was answered
		if all := r.sorted(); len(all) > 0 {
			w.release(i, all[0])
		}
	case 11, 12:
		w.extend(i)
	case 13, 14, 15, 16:
		w.serve(i)
	default:
		w.deliverReply(i)
	}
}

// open begins a stream that no relay knows, or shows one of the newest tokens, now and then with a fencing
// token that was never given.
func (w *world) open(i, s int) {
	if known := w.tokens[s]; len(known) > 0 {
		newest := len(known) - 1
		shown := known[max(0, newest-w.rng.IntN(3))]
		forged := uint64(w.rng.IntN(12) / 11)
		w.acquire(i, s, shown+forged)
		return
	}
	fresh := w.svc.nodes[w.streams[s]] == nil
	for _, o := range w.relays {
		for _, c := range o.callers {
			fresh = fresh && c.stream != s // no two relays make the same id
		}
	}
	if fresh && len(w.relays[i].callers) == 0 {
		w.acquire(i, s, 0)
	}
}

// extend moves the ends of all records of a relay's owned streams; the client may have confirmed its token.
func (w *world) extend(i int) {
	for _, c := range w.relays[i].sorted() {
		if c.owned && c.expiredAt == 0 {
			delivered := w.rng.IntN(2) == 0
			expires := 1<<40 + int64(w.rng.IntN(3))
			w.deliver(i, ExtendRecord{c.handle, delivered, expires})
		}
	}
}

// starve answers one relay nothing for longer than its session, while another is served at once and keeps
// trying to acquire what the first owns: it looks for the moment between the one's end and the other's
// beginning.
func (w *world) starve(starved, s int) {
	i := (starved + 1) % len(w.relays)
	r := w.relays[i]
	for end := w.svc.now + modelStarved; w.svc.now < end && !r.paused; {
		w.connect(i)
		for range 4 {
			w.serve(i)
			w.deliverReply(i)
		}
		if known := w.tokens[s]; len(known) > 0 && len(r.callers) == 0 {
			w.acquire(i, s, known[len(known)-1])
		}
		w.pass(modelStep)
	}
}

// runWithoutFaults ends all faults for a while.
func (w *world) runWithoutFaults(d time.Duration) {
	for range d / modelStep {
		w.pass(modelStep)
		for i, r := range w.relays {
			if r.paused {
				w.wake(i)
			}
			w.connect(i)
			for len(r.wire) > 0 && r.connected {
				before := len(r.wire)
				w.serve(i)
				w.deliverReply(i)
				if len(r.wire) >= before && !r.wire[0].done {
					break
				}
			}
		}
	}
}
