package ownership

// wake ends a relay's sleep. What it slept past the end of its trust passes no line again, as it looks at the
// clock before each; its connections to servers stand until it has ended them.
func (w *world) wake(i int) {
	r := w.relays[i]
	r.paused = false
	for _, c := range r.callers {
		c.sleptPastLease = c.sleptPastLease || c.owned && w.local(r) >= r.lease.ValidUntil()
	}
	w.deliver(i, Tick{})
}

func (w *world) disconnect(i int) {
	r := w.relays[i]
	if !r.connected {
		return
	}
	for n := w.rng.IntN(len(r.wire) + 1); n > 0; n-- { // what was under way may still be done; nobody hears of it
		w.serve(i)
	}
	wire := r.wire
	r.connected, r.wire = false, nil
	for _, f := range wire {
		w.deliver(i, Reply{RequestID: f.ask.ID, Code: NoReply})
	}
	w.deliver(i, SessionDisconnected{})
}

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
	w.deliver(i, SessionConnected{r.session, modelSessionMs, w.local(r)})
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
		if f.ask.ID != 0 {
			f.r = w.svc.do(r.session, f.ask)
			if f.r.Code > ServiceError {
				w.fail("relay %d deletes another's holder: %+v", i, f.ask)
			}
		}
		f.done = true
		return
	}
}

// deliverReply lets a relay have its next answer.
func (w *world) deliverReply(i int) {
	r := w.relays[i]
	if len(r.wire) == 0 || !r.wire[0].done {
		return
	}
	f := r.wire[0]
	r.wire = r.wire[1:]
	w.deliver(i, Renewed{f.sent})
	if f.ask.ID != 0 {
		w.deliver(i, f.r)
	}
}

// pass lets time go by in steps in which every relay that is awake looks at its clock and its callers.
func (w *world) pass(ms float64) {
	for end := w.svc.now + ms; w.svc.now < end; {
		w.svc.now += min(50, end-w.svc.now)
		w.svc.expire()
		w.checkSingleOwner()
		for i, r := range w.relays {
			if r.paused {
				continue
			}
			if r.connected {
				if _, stands := w.svc.heard[r.session]; !stands {
					w.disconnect(i)
				}
			}
			w.releaseExpired(i, false)
			if w.local(r)-r.ticked >= 250 {
				r.ticked = w.local(r)
				w.deliver(i, Tick{})
				if r.connected && len(r.wire) < 20 {
					r.wire = append(r.wire, &inFlight{sent: r.ticked}) // a ping
				}
			}
		}
	}
}

// releaseExpired ends callers that have lapsed: all, or those that a stuck client may hold up no longer.
func (w *world) releaseExpired(i int, all bool) {
	r := w.relays[i]
	for _, c := range r.sorted() {
		if c.expiredAt != 0 && (all || w.local(r)-c.expiredAt >= 950) {
			w.release(i, c)
		}
	}
}

func (w *world) step() {
	i := w.rng.IntN(len(w.relays))
	r, s := w.relays[i], w.rng.IntN(len(w.streams))
	if r.paused && w.rng.IntN(8) != 0 {
		w.pass(w.rng.Float64() * 300)
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
		w.pass(w.rng.Float64() * 400 / float64(w.calm))
	case 6:
		if w.rng.IntN(10*w.calm) == 0 {
			w.pass(w.rng.Float64() * 8000)
		}
		if w.rng.IntN(4*w.calm) == 0 {
			w.starve(i, s)
		}
	case 7, 8, 9: // any token ever given is shown anywhere, and forged generations are too
		if known := w.tokens[s]; len(known) > 0 {
			w.acquire(i, s, known[max(0, len(known)-1-w.rng.IntN(3))]+uint64(w.rng.IntN(12)/11))
		} else if len(r.callers) == 0 {
			fresh := true
			for _, o := range w.relays {
				for _, c := range o.callers {
					fresh = fresh && c.stream != s
				}
			}
			if fresh && w.svc.nodes[w.streams[s]] == nil { // no two relays make the same id
				w.acquire(i, s, 0)
			}
		}
	case 5, 10: // a caller is done, or its client has left before it was answered
		for _, c := range r.sorted() {
			w.release(i, c)
			break
		}
	case 11, 12:
		for _, c := range r.sorted() {
			if c.owned && c.expiredAt == 0 {
				w.deliver(i, ExtendRecord{c.handle, w.rng.IntN(2) == 0, 1<<40 + int64(w.rng.IntN(3))})
			}
		}
	case 13, 14, 15, 16:
		w.serve(i)
	default:
		w.deliverReply(i)
	}
}

// starve answers one relay nothing for longer than its session, while another is served at once and keeps trying
// to win what the first holds: the moment between the one's end and the other's beginning is looked for.
func (w *world) starve(starved, s int) {
	i := (starved + 1) % len(w.relays)
	r := w.relays[i]
	for end := w.svc.now + 8000; w.svc.now < end && !r.paused; {
		w.connect(i)
		for range 4 {
			w.serve(i)
			w.deliverReply(i)
		}
		if known := w.tokens[s]; len(known) > 0 && len(r.callers) == 0 {
			w.acquire(i, s, known[len(known)-1])
		}
		w.pass(50)
	}
}

// runWithoutFaults ends all faults.
func (w *world) runWithoutFaults(ms float64) {
	for range int(ms / 50) {
		w.pass(50)
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
