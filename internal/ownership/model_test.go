package ownership

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"capersail/internal/token"
)

// caller is one request for a stream at one relay.
type caller struct {
	handle          uint64
	stream          int
	clientToken     uint64
	requestedAt     time.Duration
	answers         int
	owned           bool
	pausedPastLease bool // its relay was paused when the lease ended
	fencingToken    uint64
	expiredAt       time.Duration // local time; 0 if the lease has not expired
}

// inFlightRequest is a request to the service that has no delivered reply yet. A ping has the id 0.
type inFlightRequest struct {
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
	requests  []*inFlightRequest // in the order sent; the service has executed those with done set
	callers   map[uint64]*caller
	lastTick  time.Duration
}

// sortedCallers returns the callers in the order of their handles.
func (r *modelRelay) sortedCallers() (all []*caller) {
	for h := uint64(1); len(all) < len(r.callers); h++ {
		if c := r.callers[h]; c != nil {
			all = append(all, c)
		}
	}
	return all
}

// model simulates an ownership service with sessions, two or three relays whose clocks run at different
// rates, and faults: delays, lost connections, pauses and repeated requests. It does not depend on how a
// Lease works.
type model struct {
	rng          *rand.Rand
	faultRarity  int // divides the probability of faults
	svc          *modelService
	relays       []*modelRelay
	streams      []token.StreamID
	tokens       [][]uint64 // by stream: all fencing tokens issued
	newestToken  []uint64   // by stream: fencing token of the newest owner
	lastHandle   uint64
	trace        []string
	acquisitions int
	rejected     map[RejectReason]int
}

func newModel(seed uint64, relays, streams int) *model {
	m := &model{
		rng:         rand.New(rand.NewPCG(seed, 1)),
		faultRarity: 1 + int(seed/6%4)*3,
		svc:         &modelService{nodes: map[token.StreamID]*modelNode{}, seenAt: map[int64]time.Duration{}},
		streams:     make([]token.StreamID, streams),
		tokens:      make([][]uint64, streams),
		newestToken: make([]uint64, streams),
		rejected:    map[RejectReason]int{},
	}
	for i := range relays {
		rate := 0.976 + 0.048*m.rng.Float64()
		m.relays = append(m.relays, &modelRelay{
			lease:   New(seed + uint64(i)),
			rate:    rate,
			callers: map[uint64]*caller{},
		})
	}
	for i := range m.streams {
		m.streams[i][0] = byte(i + 1)
	}
	return m
}

// violation describes a broken invariant, followed by the last events and actions before it.
type violation string

func (m *model) fail(format string, args ...any) {
	last := m.trace[max(0, len(m.trace)-60):]
	panic(violation(fmt.Sprintf(format, args...) + "\n" + strings.Join(last, "\n")))
}

// findViolation runs the model and returns the violation that it found, nil for none.
func (m *model) findViolation(steps int) (found error) {
	defer func() {
		if v, ok := recover().(violation); ok {
			found = errors.New(string(v))
		}
	}()
	m.run(steps)
	return nil
}

// localTime returns the time of a relay's clock.
func (m *model) localTime(r *modelRelay) time.Duration { return time.Second + scale(m.svc.now, r.rate) }

// deliver passes an event to a relay's Lease, then executes and checks the resulting actions.
func (m *model) deliver(i int, ev Event) {
	r := m.relays[i]
	m.trace = append(m.trace, fmt.Sprintf("%d relay %d %T%+v", m.svc.now.Milliseconds(), i, ev, ev))
	now := m.localTime(r)
	for _, act := range r.lease.Handle(now, ev, nil) {
		m.trace = append(m.trace, fmt.Sprintf("    %T%+v", act, act))
		switch a := act.(type) {
		case Request:
			if !r.connected {
				m.fail("request sent without a connection: %+v", a)
			}
			r.requests = append(r.requests, &inFlightRequest{request: a, sentAt: now})
		case StreamAcquired:
			m.checkAcquired(r.callers[a.Handle], a)
		case AcquisitionRejected:
			m.checkRejected(r.callers[a.Handle], a)
			delete(r.callers, a.Handle)
		case LeaseExpired:
			c := r.callers[a.Handle]
			if c == nil || c.answers != 1 || c.expiredAt != 0 {
				m.fail("LeaseExpired for a caller that is unknown, unanswered or already expired: %+v", c)
			}
			c.expiredAt = now
		}
	}
	m.checkSingleOwner()
}

// checkAcquired checks that a caller is answered once, that fencing tokens increase, and that a stale token
// never acquires.
func (m *model) checkAcquired(c *caller, a StreamAcquired) {
	if c.answers++; c.answers > 1 {
		m.fail("two answers for %+v", c)
	}
	c.owned, c.fencingToken = true, a.FencingToken
	if a.FencingToken <= m.newestToken[c.stream] {
		m.fail("acquired with fencing token %d after %d, want a higher one", a.FencingToken,
			m.newestToken[c.stream])
	}
	stored := m.svc.nodes[m.streams[c.stream]].record
	if c.clientToken != 0 && c.clientToken < stored.MinFencingToken {
		m.fail("acquired with client token %d, below MinFencingToken %d", c.clientToken,
			stored.MinFencingToken)
	}
	m.newestToken[c.stream] = a.FencingToken
	m.tokens[c.stream] = append(m.tokens[c.stream], a.FencingToken)
	m.acquisitions++
}

// checkRejected checks that a caller is answered once, and gets a retry time, no longer than a session,
// exactly where a retry can help.
func (m *model) checkRejected(c *caller, a AcquisitionRejected) {
	if c.answers++; c.answers > 1 {
		m.fail("two answers for %+v", c)
	}
	retryable := a.Reason == ErrAlreadyOwned || a.Reason == ErrServiceUnreachable || a.Reason == ErrTimedOut
	if retryable != (a.RetryAfter > 0) || a.RetryAfter > modelSession {
		m.fail("rejected with a wrong RetryAfter: %+v", a)
	}
	m.rejected[a.Reason]++
}

// mayServe reports whether a caller's stream may be served at this instant. A paused relay counts until the
// last line that it forwarded, just before its lease expired, has been written for certain.
func (m *model) mayServe(r *modelRelay, c *caller) bool {
	if !c.owned || c.pausedPastLease {
		return false
	}
	return !r.paused || m.localTime(r) < r.lease.ValidUntil()+r.lease.expiryMargin
}

func (m *model) checkSingleOwner() {
	for s := range m.streams {
		var owners []int
		for i, r := range m.relays {
			for _, c := range r.callers {
				if c.stream == s && m.mayServe(r, c) {
					owners = append(owners, i)
				}
			}
		}
		if len(owners) > 1 {
			m.fail("stream %d is served by %v at the same time", s, owners)
		}
	}
}

// acquire adds a caller at a relay and requests a stream for it.
func (m *model) acquire(i, s int, clientToken uint64) *caller {
	m.lastHandle++
	r := m.relays[i]
	c := &caller{handle: m.lastHandle, stream: s, clientToken: clientToken, requestedAt: m.svc.now}
	r.callers[c.handle] = c
	m.deliver(i, Acquire{
		Handle:        c.handle,
		Stream:        m.streams[s],
		FencingToken:  clientToken,
		Deadline:      m.localTime(r) + 500*time.Millisecond,
		ExpiresUnixMs: 1 << 40,
	})
	return c
}

// release releases a caller's handle and removes the caller.
func (m *model) release(i int, c *caller) {
	c.owned = false
	m.deliver(i, Release{c.handle})
	delete(m.relays[i].callers, c.handle)
}
