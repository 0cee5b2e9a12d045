// Package discovery watches the platform's list of servers: HTTP/1.1 over net and bufio, JSON lines in a
// chunked answer.
package discovery

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"

	"capersail/decide"
	"capersail/internal/guard"
	"capersail/internal/relay"
)

// What discovery has to tell counts as told 6 s after it could be reached, or after a watch fell silent, whatever failed
// meanwhile. These times, and the back-off of at most 3 s that the module draws after a failed call, add up to less:
//
//	a watch falls silent, and the call that replaces it hangs:  quietWithin + secondAfter = 4.5 s, and the answer
//	reached just after a call began that hangs:                 secondAfter               = 1.5 s, and the answer
//	reached just after the last of two calls could not begin:   dialWithin + 3 s          = 4.5 s, and the answer
//
// A fleet whose calls discovery cannot work through in 3 s waits for longer: docs/operate/fleet.md has that sum.
const (
	dialTimeout     = 1500.0 // ms until a connection is up
	responseTimeout = 4000.0 // ms until an answer begins: discovery works through calls in turn
	hedgeDelay      = 1500.0 // ms without an answer after which a second call is made beside the first
	silenceTimeout  = 3000.0 // ms without a line: a watch brings one at least every 2 s
	// agentRetryDelay is how long after a failed call to the relay's own agent the next one is made, in ms. What the agent has
	// counts as told whether or not a watch is open, and nobody else calls it.
	agentRetryDelay = 100.0
)

// Client asks discovery. The module says when; it also draws the jittered wait after a failed call.
type Client struct {
	clock   *relay.Clock
	deliver func(decide.WatchKind, []relay.Endpoint)
	// heard says that discovery has said something on a call that stands; unheard, that a call has ended or brought nothing.
	onContact       func()
	onLoss          func(why guard.DiscoveryLoss)
	log             zerolog.Logger
	silenceTimeout  float64       // quietWithin; tests have shorter ones
	responseTimeout float64       // headWithin, the same
	hedgeDelay      float64       // secondAfter, the same
	polls           chan bool     // true for a watch, false for the whole list
	restart         chan struct{} // holds one token while a new address waits to be followed
	// Pushed says that lists come from an agent of this relay's own: the client watches from the start and for good, and the
	// module neither asks for that nor hears of failures. It is set before Run.
	Pushed        bool
	confirmation  listConfirmation // Run's alone
	listedServers func() int       // servers in the list held

	listVersion atomic.Int64  // of the newest list taken in
	callCount   atomic.Uint64 // made since the process started

	mu             sync.Mutex
	address        string
	addressChanged bool               // the address, since the last call began
	cancelCall     context.CancelFunc // ends the call that is out
}

// NewClient returns a client of the service at an address.
func NewClient(address string, x *relay.RequestTable, log zerolog.Logger) *Client {
	return &Client{address: address, clock: x.Clock, deliver: x.UpdateEndpoints, onContact: x.RenewEndpointLease, onLoss: x.RecordDiscoveryLoss, log: log, silenceTimeout: silenceTimeout, responseTimeout: responseTimeout, hedgeDelay: hedgeDelay,
		listedServers: func() int { return x.EndpointCounts().Listed }, polls: make(chan bool, 8), restart: make(chan struct{}, 1)}
}

// SetAddress follows discovery to another address at once. The call that is out is ended, and the module
// does not hear of it: nothing has failed, and a back-off would delay news that counts as told 4 s later.
func (c *Client) SetAddress(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if address == c.address {
		return
	}
	c.address, c.addressChanged = address, true
	c.restartCall()
}

// ListVersion is the version of the newest list taken in, 0 before the first.
func (c *Client) ListVersion() int64 { return c.listVersion.Load() }

// RestartWatch ends the call that is out and watches anew at once: the one that stands may still have gone silent. The module does not hear of it, as nothing has failed.
func (c *Client) RestartWatch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.restartCall()
}

// restartCall makes Run ask anew. The caller holds the lock.
func (c *Client) restartCall() {
	select {
	case c.restart <- struct{}{}:
	default:
	}
	if c.cancelCall != nil {
		c.cancelCall()
	}
}

// beginCall takes up the present address for one call, and tells whether it is a new one.
func (c *Client) beginCall(ctx context.Context) (call context.Context, address string, moved bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	call, c.cancelCall = context.WithCancel(ctx)
	c.addressChanged = false
	select {
	case <-c.restart:
		moved = true
	default:
	}
	return call, c.address, moved
}

// Watch asks for changes from now on.
func (c *Client) Watch() { c.requestPoll(true) }

// Fetch asks for the whole list once.
func (c *Client) Fetch() { c.requestPoll(false) }

func (c *Client) requestPoll(watch bool) {
	select {
	case c.polls <- watch:
	default: // so many calls wait already that one more brings nothing new; each is answered once
		go c.deliver(decide.WatchFailed, nil)
	}
}

// unknownVersion is the version of a list that cannot be compared.
const unknownVersion = -1

// Run carries calls out, one after the other, until the context ends. version is that of the list held.
func (c *Client) Run(ctx context.Context, version int64) {
	for watch, moved, again := c.Pushed, false, c.Pushed; ; moved = len(c.restart) > 0 {
		if !moved && !again {
			select {
			case <-ctx.Done():
				return
			case <-c.restart:
				moved = true
			case watch = <-c.polls:
			}
		}
		call, address, newer := c.beginCall(ctx)
		watch = watch || moved || newer
		err := c.poll(call, address, watch, &version)
		c.cancelCall()
		if ctx.Err() != nil {
			return
		}
		again = false
		c.onLoss(c.lossReason(err))
		switch {
		case len(c.restart) > 0:
		case errors.Is(err, errWatchSilent), errors.Is(err, errUnconfirmed), errors.Is(err, errUnreachable):
			c.log.Info().Err(err).Msg("asking discovery again at once")
			again = true
		case c.Pushed:
			c.log.Info().Err(err).Msg("the agent's watch ended; opening another")
			again = true
			select {
			case <-ctx.Done():
				return
			case <-c.clock.AfterMillis(agentRetryDelay):
			}
		case watch || err != nil:
			c.log.Info().Err(err).Bool("watch", watch).Msg("discovery call ended")
			c.discardQueuedPolls()
			c.deliver(decide.WatchFailed, nil)
		}
	}
}

// discardQueuedPolls drops what was asked for while a call was out. Its end answers that too: each answer makes the
// module ask once more, so answering twice would have it ask twice as often for good.
func (c *Client) discardQueuedPolls() {
	for {
		select {
		case <-c.polls:
		default:
			return
		}
	}
}

// poll makes the calls that one ask stands for. At another address too a watch is opened after the version held, in one call:
// all relays' discovery is one service, and one that cannot tell what changed after that version brings the whole list
// (protocol). A whole list and then a watch were two calls, and a dear one first: when 279 relays were told of a move within
// 4 s, 386 of their calls were answered 503, and relays went by an old list for up to 13 s.
func (c *Client) poll(ctx context.Context, address string, watch bool, version *int64) error {
	const path = "/v1/endpoints"
	if watch && *version != unknownVersion {
		err := c.streamLists(ctx, address, fmt.Sprintf("%s?watch=1&after=%d", path, *version), version)
		if !errors.Is(err, errOlderVersion) {
			return err
		}
		*version = unknownVersion
	}
	if *version == unknownVersion || !watch {
		if err := c.streamLists(ctx, address, path, version); err != nil || !watch {
			return err
		}
	}
	return c.streamLists(ctx, address, fmt.Sprintf("%s?watch=1&after=%d", path, *version), version)
}
