package ownership

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"capersail/internal/token"
)

// caller is one opening of a stream at one relay.
type caller struct {
	handle         uint64
	stream         int
	shownToken     uint64
	askedAt        time.Duration
	answers        int
	owned          bool
	sleptPastLease bool // its relay slept past the end of the lease
	fencingToken   uint64
	expiredAt      time.Duration // local time, 0 if the lease has not expired
}

// inFlight is a request on its way, or its reply on the way back. A ping has the id 0.
type inFlight struct {
	request Request
	sentAt  time.Duration
	reply   Reply
	done    bool
}

// modelRelay is one relay of the model, with a clock that runs at its own rate.
type modelRelay struct {
	lease     *Lease
	rate      float64
	paused    bool
	connected bool
	session   int64
	wire      []*inFlight // in order; the service has answered the done ones
	callers   map[uint64]*caller
	tickedAt  time.Duration
}

// sorted lists the callers by handle.
func (r *modelRelay) sorted() (all []*caller) {
	for h := uint64(1); len(all) < len(r.callers); h++ {
		if c := r.callers[h]; c != nil {
			all = append(all, c)
		}
	}
	return all
}

// world is the model: an ownership service with sessions, two or three relays whose clocks run at different
// rates, and an adversary that delays, cuts, pauses and repeats. It knows nothing of how a Lease works.
type world struct {
	rng          *rand.Rand
	calm         int // how much rarer faults are
	svc          *service
	relays       []*modelRelay
	streams      []token.StreamID
	tokens       [][]uint64 // by stream: the fencing tokens of all tokens ever given
	highest      []uint64   // by stream: the newest owner's fencing token
	handles      uint64
	trace        []string
	acquisitions int
	rejected     map[RejectReason]int
}

func newWorld(seed uint64, relays, streams int) *world {
	w := &world{
		rng:      rand.New(rand.NewPCG(seed, 1)),
		calm:     1 + int(seed/6%4)*3,
		svc:      &service{nodes: map[token.StreamID]*node{}, heard: map[int64]time.Duration{}},
		streams:  make([]token.StreamID, streams),
		tokens:   make([][]uint64, streams),
		highest:  make([]uint64, streams),
		rejected: map[RejectReason]int{},
	}
	for i := range relays {
		rate := 0.976 + 0.048*w.rng.Float64()
		w.relays = append(w.relays, &modelRelay{
			lease:   New(seed + uint64(i)),
			rate:    rate,
			callers: map[uint64]*caller{},
		})
	}
	for i := range w.streams {
		w.streams[i][0] = byte(i + 1)
	}
	return w
}

// violation is what a check found, with what led to it.
type violation string

func (w *world) fail(format string, args ...any) {
	last := w.trace[max(0, len(w.trace)-60):]
	panic(violation(fmt.Sprintf(format, args...) + "\n" + strings.Join(last, "\n")))
}

// findViolation plays a world and returns what was found.
func (w *world) findViolation(steps int) (found error) {
	defer func() {
		if v, ok := recover().(violation); ok {
			found = errors.New(string(v))
		}
	}()
	w.play(steps)
	return nil
}

// local is a relay's clock.
func (w *world) local(r *modelRelay) time.Duration { return time.Second + scale(w.svc.now, r.rate) }

// deliver lets a relay's Lease take an event, does its actions and checks them.
func (w *world) deliver(i int, ev Event) {
	r := w.relays[i]
	w.trace = append(w.trace, fmt.Sprintf("%d relay %d %T%+v", w.svc.now.Milliseconds(), i, ev, ev))
	now := w.local(r)
	for _, act := range r.lease.Handle(now, ev, nil) {
		w.trace = append(w.trace, fmt.Sprintf("    %T%+v", act, act))
		switch a := act.(type) {
		case Request:
			if !r.connected {
				w.fail("a request without a connection: %+v", a)
			}
			r.wire = append(r.wire, &inFlight{request: a, sentAt: now})
		case StreamAcquired:
			w.acquired(r.callers[a.Handle], a)
		case AcquisitionRejected:
			w.checkRejected(r.callers[a.Handle], a)
			delete(r.callers, a.Handle)
		case LeaseExpired:
			c := r.callers[a.Handle]
			if c == nil || c.answers != 1 || c.expiredAt != 0 {
				w.fail("lease expired: %+v", c)
			}
			c.expiredAt = now
		}
	}
	w.checkSingleOwner()
}

// acquired checks that a caller is answered once, that fencing tokens rise, and that no stale token acquires.
func (w *world) acquired(c *caller, a StreamAcquired) {
	if c.answers++; c.answers > 1 {
		w.fail("two answers for %+v", c)
	}
	c.owned, c.fencingToken = true, a.FencingToken
	if a.FencingToken <= w.highest[c.stream] {
		w.fail("fencing token %d acquired after %d", a.FencingToken, w.highest[c.stream])
	}
	stored := w.svc.nodes[w.streams[c.stream]].record
	if c.shownToken != 0 && c.shownToken < stored.MinFencingToken {
		w.fail("a token of %d acquired below the minimum %d", c.shownToken, stored.MinFencingToken)
	}
	w.highest[c.stream] = a.FencingToken
	w.tokens[c.stream] = append(w.tokens[c.stream], a.FencingToken)
	w.acquisitions++
}

// checkRejected checks that a caller is answered once, and told to retry where that can help, within a
// session.
func (w *world) checkRejected(c *caller, a AcquisitionRejected) {
	if c.answers++; c.answers > 1 {
		w.fail("two answers for %+v", c)
	}
	retryable := a.Reason == ErrAlreadyOwned || a.Reason == ErrServiceUnreachable || a.Reason == ErrTimedOut
	if retryable != (a.RetryAfter > 0) || a.RetryAfter > modelSession {
		w.fail("rejected with %+v", a)
	}
	w.rejected[a.Reason]++
}

// serving tells whether a caller may be served at this instant. A relay that is asleep counts until what it
// forwarded last, just before its lease expired, has surely been written.
func (w *world) serving(r *modelRelay, c *caller) bool {
	if !c.owned || c.sleptPastLease {
		return false
	}
	return !r.paused || w.local(r) < r.lease.ValidUntil()+r.lease.margin
}

func (w *world) checkSingleOwner() {
	for s := range w.streams {
		var owners []int
		for i, r := range w.relays {
			for _, c := range r.callers {
				if c.stream == s && w.serving(r, c) {
					owners = append(owners, i)
				}
			}
		}
		if len(owners) > 1 {
			w.fail("stream %d is served by %v", s, owners)
		}
	}
}

// acquire lets a relay's caller ask for a stream.
func (w *world) acquire(i, s int, shownToken uint64) *caller {
	w.handles++
	r := w.relays[i]
	c := &caller{handle: w.handles, stream: s, shownToken: shownToken, askedAt: w.svc.now}
	r.callers[c.handle] = c
	w.deliver(i, Acquire{
		Handle:        c.handle,
		Stream:        w.streams[s],
		FencingToken:  shownToken,
		Deadline:      w.local(r) + 500*time.Millisecond,
		ExpiresUnixMs: 1 << 40,
	})
	return c
}

// release ends a caller.
func (w *world) release(i int, c *caller) {
	c.owned = false
	w.deliver(i, Release{c.handle})
	delete(w.relays[i].callers, c.handle)
}
