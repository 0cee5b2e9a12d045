package discovery

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"capersail/decide"
	"capersail/internal/guard"
	"capersail/internal/relay"
)

// A watch event counts as notified 6 s after discovery could be reached, or after a watch fell silent,
// whatever failed meanwhile. These timeouts, and the backoff of at most 3 s that the decision module draws
// after a failed call, add up to less:
//
//	a watch falls silent, and the call that replaces it hangs: silenceTimeout + hedgeDelay = 4.5 s
//	reached just after a call began that hangs:                hedgeDelay                  = 1.5 s
//	reached just after the last of two calls could not begin:  dialTimeout + 3 s           = 4.5 s
//
// and to each the time of the response.
//
// A fleet whose calls discovery cannot work through in 3 s waits for longer: docs/operate/fleet.md has that
// sum.
const (
	// dialTimeout is how long a connection may take to come up.
	dialTimeout = 1500 * time.Millisecond
	// responseTimeout is how long a response may take to begin: discovery works through calls in turn.
	responseTimeout = 4 * time.Second
	// hedgeDelay is how long a call goes without a response before a second one is made beside it.
	hedgeDelay = 1500 * time.Millisecond
	// silenceTimeout is how long a watch may bring no line: a live one brings a line at least every 2 s.
	silenceTimeout = 3 * time.Second
	// agentRetryDelay is how long after a failed call to the relay's own agent the next one is made. What the
	// agent has counts as notified whether or not a watch is open, and nobody else calls it.
	agentRetryDelay = 100 * time.Millisecond
)

// maxQueuedPolls bounds the polls that wait while a call is out.
const maxQueuedPolls = 8

// timeouts bound one call; tests have shorter ones.
type timeouts struct {
	response time.Duration // until a response begins
	hedge    time.Duration // until a second call is made beside the first
	silence  time.Duration // between two lines of a watch
}

// consumer is what a Client feeds: the relay's request table.
type consumer struct {
	// deliver hands over a list, or the failure of a poll.
	deliver func(decide.WatchKind, []relay.Endpoint)
	// onContact says that discovery has sent something on a call that stands.
	onContact func()
	// onLoss says that a call has ended or brought nothing.
	onLoss func(reason guard.DiscoveryLoss)
	// listedServers is the number of servers in the list held.
	listedServers func() int
}

// Client polls and watches discovery. The decision module says when; it also draws the backoff after a failed
// call.
type Client struct {
	// LocalAgent says that lists come from an agent of this relay's own: the client watches from the start and
	// for good, and the decision module neither asks for that nor is notified of failures. It is set before
	// Run.
	LocalAgent bool

	clock        *relay.Clock
	log          zerolog.Logger
	to           consumer
	timeouts     timeouts
	target       target
	polls        chan bool        // true for a watch, false for one complete list
	confirmation listConfirmation // only Run uses it

	listVersion atomic.Int64  // of the newest list taken in
	callCount   atomic.Uint64 // calls made since the process started
}

// NewClient returns a client of discovery at an address, which feeds a request table.
func NewClient(address string, table *relay.RequestTable, log zerolog.Logger) *Client {
	return &Client{
		clock: table.Clock,
		log:   log,
		to: consumer{
			deliver:       table.UpdateEndpoints,
			onContact:     table.RenewEndpointLease,
			onLoss:        table.RecordDiscoveryLoss,
			listedServers: func() int { return table.EndpointCounts().Listed },
		},
		timeouts: timeouts{response: responseTimeout, hedge: hedgeDelay, silence: silenceTimeout},
		target:   newTarget(address),
		polls:    make(chan bool, maxQueuedPolls),
	}
}

// SetAddress follows discovery to another address at once. The call that is out is ended, and the decision
// module is not notified: nothing has failed, and a backoff would delay watch events that count as
// notified 4 s later.
func (c *Client) SetAddress(address string) { c.target.set(address) }

// RestartWatch ends the call that is out and watches anew at once: the watch that stands may have gone silent
// unnoticed. The decision module is not notified, as nothing has failed.
func (c *Client) RestartWatch() { c.target.restartCall() }

// ListVersion is the version of the newest list taken in, 0 before the first.
func (c *Client) ListVersion() int64 { return c.listVersion.Load() }

// Watch asks for watch events from now on.
func (c *Client) Watch() { c.requestPoll(true) }

// Fetch asks for one complete list.
func (c *Client) Fetch() { c.requestPoll(false) }

func (c *Client) requestPoll(watch bool) {
	select {
	case c.polls <- watch:
	default: // so many polls wait already that one more brings nothing new; each is answered once
		go c.to.deliver(decide.WatchFailed, nil)
	}
}

// discardQueuedPolls drops what was asked for while a call was out. Its end answers that too: each answer
// makes the decision module poll once more, so answering twice would have it poll twice as often for good.
func (c *Client) discardQueuedPolls() {
	for {
		select {
		case <-c.polls:
		default:
			return
		}
	}
}

// Run carries polls out, one after the other, until the context ends. version is that of the list held.
func (c *Client) Run(ctx context.Context, version int64) {
	watch, again := c.LocalAgent, c.LocalAgent
	for restarting := false; ; restarting = c.target.restartPending() {
		if !restarting && !again {
			select {
			case <-ctx.Done():
				return
			case <-c.target.restart:
				restarting = true
			case watch = <-c.polls:
			}
		}
		call, address, restarted := c.target.beginCall(ctx)
		watch = watch || restarting || restarted
		err := c.poll(call, address, watch, &version)
		c.target.endCall()
		if ctx.Err() != nil {
			return
		}
		c.to.onLoss(c.target.lossReason(err))
		if again = c.afterCall(ctx, watch, err); ctx.Err() != nil {
			return
		}
	}
}

// afterCall does what the end of a call asks for, and tells whether another is to be made at once.
func (c *Client) afterCall(ctx context.Context, watch bool, err error) (again bool) {
	switch {
	case c.target.restartPending():
		return false
	case retriedAtOnce(err):
		c.log.Info().Err(err).Msg("retrying discovery at once")
		return true
	case c.LocalAgent:
		c.log.Info().Err(err).Msg("agent's watch ended, opening another")
		select {
		case <-ctx.Done():
		case <-c.clock.After(agentRetryDelay):
		}
		return true
	case watch || err != nil:
		c.log.Info().Err(err).Bool("watch", watch).Msg("discovery call ended")
		c.discardQueuedPolls()
		c.to.deliver(decide.WatchFailed, nil)
	}
	return false
}

const endpointsPath = "/v1/endpoints"

// watchPath asks for the watch events after a version.
func watchPath(version int64) string {
	return fmt.Sprintf("%s?watch=1&after=%d", endpointsPath, version)
}

// poll makes the calls that one poll stands for. At another address too a watch is opened after the version
// held, in one call: all relays' discovery is one service, and one that cannot tell what changed after that
// version sends the complete list (protocol). A complete list and then a watch would be two calls, the first
// a costly one for a service that all relays of a fleet begin to call.
func (c *Client) poll(ctx context.Context, address string, watch bool, version *int64) error {
	if watch && *version != unknownVersion {
		err := c.streamLists(ctx, address, watchPath(*version), version)
		if !errors.Is(err, errOlderVersion) {
			return err
		}
		*version = unknownVersion
	}
	if *version == unknownVersion || !watch {
		err := c.streamLists(ctx, address, endpointsPath, version)
		if err != nil || !watch {
			return err
		}
	}
	return c.streamLists(ctx, address, watchPath(*version), version)
}
