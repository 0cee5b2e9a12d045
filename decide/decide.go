// Package decide makes a relay's decisions: where each long-lived connection goes, when to try again,
// when to refuse, when to move a connection. Its types, events and actions are in decide/types.go.
package decide

import "time"

const (
	falseTimeouts = 0.001                   // tolerable part of set-ups timed out that would have come
	setupsKept    = 128                     // set-up times that the percentile is taken over
	padOverMedian = 3                       // least multiple of the median that the percentile is padded to
	probesPerPick = 4                       // fresh readings that a placement wants to choose from
	freshFor      = time.Second             // a reading this young counts as fresh
	retryEarned   = 0.2                     // retry tokens that an arrival earns its tenant
	retryBurst    = 2.0                     // most tokens a tenant can save up
	fullLoad      = 0.75                    // no backend is given more beyond this load; most is served near it
	coldShare     = 0.8                     // part of a cold backend's budget that all relays together use
	watchEvery    = 2 * time.Second         // held backends are looked at this often
	busyLoad      = 0.5                     // held backends are watched while the pool's mean is over this
	easeLoad      = 0.65                    // an overdriven backend is brought down to this, onto ones under it
	hotLoad       = 0.85                    // a backend over this is overdriven
	reportLag     = 700 * time.Millisecond  // a reading counts nothing that is younger than this
	noteEvery     = 1100 * time.Millisecond // a note of delay comes again within this
	quotaOfAll    = 0.8                     // part of all backends' capacity that tenants' quotas add up to
	overQuota     = 2.5                     // most that a connection adds, by what groups pay, over its mean
	fewHeld       = 4                       // own connections at a backend that tell little of it
	groupLoad     = 0.6                     // a group goes to its next backend beyond this
	stillFor      = 2                       // probes in a row that a silent backend leaves unanswered
	errorHold     = 4 * time.Second         // an erring backend is left out for up to this, doubling
	askAgain      = 3 * time.Second         // discovery is called again within this: news may take 6 s
	callsAWhile   = 140                     // calls that discovery surely works through in AskWithin
	mostPriced    = 128                     // readings that a placement looks at: among them one of the best 3%
)

const ( // kinds of timer, in the low bits of a token
	wakeRequest = iota // a held request: its probes or its back-off are due
	wakeWatch          // look at the backends that hold our connections
	wakeDiscovery
	wakeShift // a backend's connections are to go, and a better place has been asked for
	wakeKinds
)

// Handle takes one event and appends what is to be done about it to out. Time never goes back.
func (b *Balancer) Handle(now time.Duration, ev Event, out []Action) []Action {
	b.now, b.out = now, out
	if b.began < 0 {
		b.began = now
	}
	switch e := ev.(type) {
	case Members:
		b.members(e)
	case Request:
		r := b.track(e)
		b.arrived++
		b.rate()
		b.recent++
		b.tokens[r.Tenant] = min(retryBurst, b.tokens[r.Tenant]+retryEarned)
		b.ready(r)
	case Inherited:
		r := b.track(e.Request)
		r.attempts, r.phase, r.backend = 1, open, e.Backend
		b.hold(r)
		b.watch()
	case Opened:
		b.sampleSetup(e.Took)
		b.late, b.server(e.Backend).errs = 0, 0
		if r := b.reqs[e.ID]; r != nil && r.phase != done {
			r.phase = open
			b.keys.forgive(r.Key)
			b.watch()
		}
	case Outcome:
		b.outcome(e)
	case Gone:
		if r := b.reqs[e.ID]; r != nil {
			b.forget(r)
		}
	case Alarm:
		b.alarm(e.Token)
	case Probed:
		b.probed(e)
	case Told:
		b.told(e)
	case Fleet:
		b.gather(e)
	case DelayNote:
		if r := b.reqs[e.ID]; r != nil {
			if aim := b.set.Classes[r.Class].Message; aim > 0 && e.Delay > aim { // with no aim told none is late
				b.server(e.Backend).lagTill = b.now + noteEvery
				b.probe(e.Backend)
			}
		}
	}
	return b.out
}

func (b *Balancer) alarm(token uint64) {
	switch id := token / wakeKinds; token % wakeKinds {
	case wakeRequest:
		r := b.reqs[RequestID(id)]
		if r == nil || b.now < r.wakeAt {
			return
		}
		switch r.phase {
		case holding:
			b.unwait(r)
			b.place(r)
		case backoff:
			b.ready(r)
		}
	case wakeWatch:
		b.watching = false
		for i, dark := 0, !b.set.TellsDelay; i < len(b.fleet); i++ { // then one busy or unread is watched too
			s := &b.fleet[i]
			if len(s.held) > 0 && (b.mean > busyLoad || dark && (s.load == 0 || s.guess || b.estimate(s) > busyLoad)) {
				if b.talk.Shared && s.readAt >= 0 && b.now-s.readAt <= b.usable() {
					b.look(Backend(i), s)
				} else {
					b.probe(Backend(i))
				}
			}
		}
		b.watch()
	case wakeDiscovery:
		b.subscribe(id)
	case wakeShift:
		b.shift(Backend(id), &b.fleet[id])
	}
}
