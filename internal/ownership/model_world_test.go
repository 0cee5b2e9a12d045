package ownership

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"

	"capersail/internal/token"
)

// caller is one opening of a stream at one relay.
type caller struct {
	handle         uint64
	stream         int
	shownToken     uint64
	askedAt        float64
	answers        int
	owned          bool
	sleptPastLease bool // slept past the end of its trust
	fencingToken   uint64
	expiredAt      float64 // local time, 0 if not
}

type inFlight struct {
	ask  Request
	sent float64
	r    Reply
	done bool
}

type relay struct {
	lease     *Lease
	rate      float64
	paused    bool
	connected bool
	session   int64
	wire      []*inFlight // in order; the service has answered the done ones
	callers   map[uint64]*caller
	ticked    float64
}

// The model: a claim service with sessions, two or three relays whose clocks run at different rates, and an
// adversary that delays, cuts, pauses and repeats. It knows nothing of how a Keeper works.
type world struct {
	rng          *rand.Rand
	calm         int // how much rarer faults are
	svc          *service
	relays       []*relay
	streams      []token.StreamID
	tokens       [][]uint64 // generations of all tokens ever given, by stream
	highest      []uint64   // generation won last
	handles      uint64
	trace        []string
	acquisitions int
	rejected     map[RejectReason]int
}

func newWorld(seed uint64, relays, streams int) *world {
	w := &world{calm: 1 + int(seed/6%4)*3, rng: rand.New(rand.NewPCG(seed, 1)), rejected: map[RejectReason]int{},
		svc: &service{nodes: map[token.StreamID]*node{}, heard: map[int64]float64{}}}
	for i := range relays {
		w.relays = append(w.relays, &relay{lease: New(seed + uint64(i)), rate: 0.976 + 0.048*w.rng.Float64(), callers: map[uint64]*caller{}})
	}
	w.streams = make([]token.StreamID, streams)
	for i := range w.streams {
		w.streams[i][0] = byte(i + 1)
	}
	w.tokens, w.highest = make([][]uint64, streams), make([]uint64, streams)
	return w
}

// violation is what a check found, with what led to it.
type violation string

func (w *world) fail(format string, args ...any) {
	panic(violation(fmt.Sprintf(format, args...) + "\n" + strings.Join(w.trace[max(0, len(w.trace)-60):], "\n")))
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

func (w *world) local(r *relay) float64 { return 1000 + w.svc.now*r.rate }

func (w *world) deliver(i int, ev Event) {
	r := w.relays[i]
	w.trace = append(w.trace, fmt.Sprintf("%.0f relay %d %T%+v", w.svc.now, i, ev, ev))
	now := w.local(r)
	for _, act := range r.lease.Handle(now, ev, nil) {
		w.trace = append(w.trace, fmt.Sprintf("    %T%+v", act, act))
		switch a := act.(type) {
		case Request:
			if !r.connected {
				w.fail("asks without a connection: %+v", a)
			}
			r.wire = append(r.wire, &inFlight{ask: a, sent: now})
		case Acquired:
			c := r.callers[a.Handle]
			if c.answers++; c.answers > 1 {
				w.fail("two answers for %+v", c)
			}
			c.owned, c.fencingToken = true, a.FencingToken
			if a.FencingToken <= w.highest[c.stream] {
				w.fail("generation %d won after %d", a.FencingToken, w.highest[c.stream])
			}
			if n := w.svc.nodes[w.streams[c.stream]]; c.shownToken != 0 && c.shownToken < n.record.MinFencingToken {
				w.fail("a token of %d won below the floor %d", c.shownToken, n.record.MinFencingToken)
			}
			w.highest[c.stream] = a.FencingToken
			w.tokens[c.stream] = append(w.tokens[c.stream], a.FencingToken)
			w.acquisitions++
		case Rejected:
			c := r.callers[a.Handle]
			if c.answers++; c.answers > 1 {
				w.fail("two answers for %+v", c)
			}
			if (a.Reason == ErrAlreadyOwned || a.Reason == ErrServiceUnreachable || a.Reason == ErrTimedOut) != (a.RetryAfter > 0) || a.RetryAfter > modelSessionMs {
				w.fail("refused with %+v", a)
			}
			w.rejected[a.Reason]++
			delete(r.callers, a.Handle)
		case LeaseExpired:
			c := r.callers[a.Handle]
			if c == nil || c.answers != 1 || c.expiredAt != 0 {
				w.fail("lapsed: %+v", c)
			}
			c.expiredAt = now
		}
	}
	w.checkSingleOwner()
}

// serving tells whether a caller may be served at this instant. A relay that is asleep counts until what it
// passed on last, just before the end of its trust, has surely been written.
func (w *world) serving(r *relay, c *caller) bool {
	if !c.owned || c.sleptPastLease {
		return false
	}
	return !r.paused || w.local(r) < r.lease.ValidUntil()+r.lease.margin
}

func (w *world) checkSingleOwner() {
	for s := range w.streams {
		var who []int
		for i, r := range w.relays {
			for _, c := range r.callers {
				if c.stream == s && w.serving(r, c) {
					who = append(who, i)
				}
			}
		}
		if len(who) > 1 {
			w.fail("stream %d is served by %v", s, who)
		}
	}
}

func (r *relay) sorted() (all []*caller) {
	for h := uint64(1); len(all) < len(r.callers); h++ {
		if c := r.callers[h]; c != nil {
			all = append(all, c)
		}
	}
	return all
}

func (w *world) acquire(i, s int, gen uint64) *caller {
	w.handles++
	r := w.relays[i]
	c := &caller{handle: w.handles, stream: s, shownToken: gen, askedAt: w.svc.now}
	r.callers[c.handle] = c
	w.deliver(i, Acquire{Handle: c.handle, Stream: w.streams[s], FencingToken: gen, Deadline: w.local(r) + 500, ExpiresUnixMs: 1 << 40})
	return c
}

// release ends a caller.
func (w *world) release(i int, c *caller) {
	c.owned = false
	w.deliver(i, Release{c.handle})
	delete(w.relays[i].callers, c.handle)
}
