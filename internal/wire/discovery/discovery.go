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
	dialWithin  = 1500.0 // ms until a connection is up
	headWithin  = 4000.0 // ms until an answer begins: discovery works through calls in turn
	secondAfter = 1500.0 // ms without an answer after which a second call is made beside the first
	quietWithin = 3000.0 // ms without a line: a watch brings one at least every 2 s
	// pushedAgain is how long after a failed call to the relay's own agent the next one is made, in ms. What the agent has
	// counts as told whether or not a watch is open, and nobody else calls it.
	pushedAgain = 100.0
)

// Client asks discovery. The module says when; it also draws the jittered wait after a failed call.
type Client struct {
	clock *relay.Clock
	tell  func(decide.ListKind, []relay.Listed)
	// heard says that discovery has said something on a call that stands; unheard, that a call has ended or brought nothing.
	heard   func()
	unheard func(why guard.Loss)
	log     zerolog.Logger
	quiet   float64       // quietWithin; tests have shorter ones
	within  float64       // headWithin, the same
	second  float64       // secondAfter, the same
	asks    chan bool     // true for a watch, false for the whole list
	moved   chan struct{} // holds one token while a new address waits to be followed
	// Pushed says that lists come from an agent of this relay's own: the client watches from the start and for good, and the
	// module neither asks for that nor hears of failures. It is set before Run.
	Pushed bool
	doubt  doubt      // Run's alone
	listed func() int // servers in the list held

	generation atomic.Int64  // of the newest list taken in
	calls      atomic.Uint64 // made since the process started

	mu      sync.Mutex
	address string
	changed bool               // the address, since the last call began
	hangUp  context.CancelFunc // ends the call that is out
}

// NewClient returns a client of the service at an address.
func NewClient(address string, x *relay.Exchange, log zerolog.Logger) *Client {
	return &Client{address: address, clock: x.Clock, tell: x.Members, heard: x.Heard, unheard: x.Unheard, log: log, quiet: quietWithin, within: headWithin, second: secondAfter,
		listed: func() int { return x.Cluster().Listed }, asks: make(chan bool, 8), moved: make(chan struct{}, 1)}
}

// SetAddress follows discovery to another address at once. The call that is out is ended, and the module
// does not hear of it: nothing has failed, and a back-off would delay news that counts as told 4 s later.
func (c *Client) SetAddress(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if address == c.address {
		return
	}
	c.address, c.changed = address, true
	c.follow()
}

// loss is why a call that ended with an error is over.
func (c *Client) loss(err error) guard.Loss {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.changed:
		return guard.AddressChanged
	case errors.Is(err, errRefused):
		return guard.ConnectionRefused
	case errors.Is(err, errSilent):
		return guard.WatchSilent
	}
	return guard.CallFailed
}

// Generation is the version of the newest list taken in, 0 before the first.
func (c *Client) Generation() int64 { return c.generation.Load() }

// Again ends the call that is out and watches anew at once: the one that stands may still have gone silent. The module does not hear of it, as nothing has failed.
func (c *Client) Again() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.follow()
}

// follow makes Run ask anew. The caller holds the lock.
func (c *Client) follow() {
	select {
	case c.moved <- struct{}{}:
	default:
	}
	if c.hangUp != nil {
		c.hangUp()
	}
}

// begin takes up the present address for one call, and tells whether it is a new one.
func (c *Client) begin(ctx context.Context) (call context.Context, address string, moved bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	call, c.hangUp = context.WithCancel(ctx)
	c.changed = false
	select {
	case <-c.moved:
		moved = true
	default:
	}
	return call, c.address, moved
}

// Watch asks for changes from now on.
func (c *Client) Watch() { c.ask(true) }

// Fetch asks for the whole list once.
func (c *Client) Fetch() { c.ask(false) }

func (c *Client) ask(watch bool) {
	select {
	case c.asks <- watch:
	default: // so many calls wait already that one more brings nothing new; each is answered once
		go c.tell(decide.Failed, nil)
	}
}

// anew is the version of a list that cannot be compared.
const anew = -1

// errOther ends a watch whose first changes are of a version before the one held: this service counts its own.
var errOther = errors.New("changes of an older version than the one held")

// errSilent ends a watch that had begun and brings no line any more. What it misses counts as told 6 s after it fell
// silent, so another is opened at once, and the module hears of it only if that one fails: its back-off, up to 7.5 s for
// 300 relays, is for a service that answers too many.
var errSilent = errors.New("the watch has fallen silent")

// errUnreached ends calls whose connections did not come up in time. Discovery has had no work with them, and the time that they
// took paces them: another is made at once, so that the first to get through is no back-off late.
var errUnreached = errors.New("discovery cannot be reached")

// errRefused ends a call whose connection was refused: discovery does not serve.
var errRefused = errors.New("discovery refuses connections")

// errDoubted ends a call that brought a list which a second call has to confirm.
var errDoubted = errors.New("a list that takes back what is known")

// Run carries calls out, one after the other, until the context ends. version is that of the list held.
func (c *Client) Run(ctx context.Context, version int64) {
	for watch, moved, again := c.Pushed, false, c.Pushed; ; moved = len(c.moved) > 0 {
		if !moved && !again {
			select {
			case <-ctx.Done():
				return
			case <-c.moved:
				moved = true
			case watch = <-c.asks:
			}
		}
		call, address, newer := c.begin(ctx)
		watch = watch || moved || newer
		err := c.visit(call, address, watch, &version)
		c.hangUp()
		if ctx.Err() != nil {
			return
		}
		again = false
		c.unheard(c.loss(err))
		switch {
		case len(c.moved) > 0:
		case errors.Is(err, errSilent), errors.Is(err, errDoubted), errors.Is(err, errUnreached):
			c.log.Info().Err(err).Msg("asking discovery again at once")
			again = true
		case c.Pushed:
			c.log.Info().Err(err).Msg("the agent's watch ended; opening another")
			again = true
			select {
			case <-ctx.Done():
				return
			case <-c.clock.After(pushedAgain):
			}
		case watch || err != nil:
			c.log.Info().Err(err).Bool("watch", watch).Msg("discovery call ended")
			c.settle()
			c.tell(decide.Failed, nil)
		}
	}
}

// settle drops what was asked for while a call was out. Its end answers that too: each answer makes the
// module ask once more, so answering twice would have it ask twice as often for good.
func (c *Client) settle() {
	for {
		select {
		case <-c.asks:
		default:
			return
		}
	}
}

// visit makes the calls that one ask stands for. At another address too a watch is opened after the version held, in one call:
// all relays' discovery is one service, and one that cannot tell what changed after that version brings the whole list
// (protocol). A whole list and then a watch were two calls, and a dear one first: when 279 relays were told of a move within
// 4 s, 386 of their calls were answered 503, and relays went by an old list for up to 13 s.
func (c *Client) visit(ctx context.Context, address string, watch bool, version *int64) error {
	const path = "/v1/endpoints"
	if watch && *version != anew {
		err := c.call(ctx, address, fmt.Sprintf("%s?watch=1&after=%d", path, *version), version)
		if !errors.Is(err, errOther) {
			return err
		}
		*version = anew
	}
	if *version == anew || !watch {
		if err := c.call(ctx, address, path, version); err != nil || !watch {
			return err
		}
	}
	return c.call(ctx, address, fmt.Sprintf("%s?watch=1&after=%d", path, *version), version)
}
