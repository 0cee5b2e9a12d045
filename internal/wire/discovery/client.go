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

// By the protocol a relay counts as notified of a watch event 6 s after discovery became reachable, or after
// a watch fell silent, whatever else failed meanwhile. The timeouts below, and the backoff of at most 3 s
// that the decision module draws after a failed call, add up to less:
//
//	a watch falls silent, and the call that replaces it hangs:  silenceTimeout + hedgeDelay = 4.5 s
//	reachable just after a call began that hangs:               hedgeDelay                  = 1.5 s
//	reachable just after the second of two failing dials began: dialTimeout + 3 s           = 4.5 s
//
// The duration of the response is added to each.
//
// If discovery takes more than 3 s to answer the calls of a whole fleet, relays wait longer:
// docs/operate/fleet.md has that calculation.
const (
	// dialTimeout bounds the dial of a connection.
	dialTimeout = 1500 * time.Millisecond
	// responseTimeout bounds the time until a response begins. It allows for a queue of calls, as discovery
	// answers them one after the other.
	responseTimeout = 4 * time.Second
	// hedgeDelay is how long a call may go without a response before a second one is made in parallel.
	hedgeDelay = 1500 * time.Millisecond
	// silenceTimeout is how long a watch may deliver no line. A working watch delivers one every 2 s or less.
	silenceTimeout = 3 * time.Second
	// agentRetryDelay is the pause before the next call to the relay's own agent after one has ended. It is
	// short because the relay counts as notified of the agent's changes even while no watch is open, and
	// because the agent has no other callers.
	agentRetryDelay = 100 * time.Millisecond
)

// maxQueuedPolls bounds the polls that are queued while a call is in progress.
const maxQueuedPolls = 8

// timeouts are the time limits of a call. Tests set shorter ones.
type timeouts struct {
	response time.Duration // until a response begins
	hedge    time.Duration // until a second call is made in parallel to the first
	silence  time.Duration // between two lines of a watch
}

// consumer receives the lists and the state of the watch. Outside of tests it is the relay's request table.
type consumer struct {
	// deliver passes a list, or with decide.WatchFailed the failure of a poll.
	deliver func(decide.WatchKind, []relay.Endpoint)
	// onContact is called when data from discovery has arrived on an open call.
	onContact func()
	// onLoss is called when a call has ended or failed.
	onLoss func(reason guard.DiscoveryLoss)
	// listedServers returns the number of servers in the current endpoint list.
	listedServers func() int
}

// Client polls and watches discovery. The decision module decides when, and draws the backoff after a failed
// call. All methods but Run may be called concurrently.
type Client struct {
	// LocalAgent says that discovery is an agent of this relay alone, which pushes lists to it. The client
	// then watches from the start and reopens the watch whenever it ends; the decision module neither
	// requests the watch nor is notified of failures. It must be set before Run.
	LocalAgent bool

	clock        *relay.Clock
	log          zerolog.Logger
	consumer     consumer
	timeouts     timeouts
	target       callTarget
	polls        chan bool        // true: watch; false: fetch one complete list
	confirmation listConfirmation // used only by Run

	listVersion atomic.Int64  // version of the newest list applied
	callCount   atomic.Uint64 // calls made since the process started
}

// NewClient returns a client of discovery at address that passes lists to table.
func NewClient(address string, table *relay.RequestTable, log zerolog.Logger) *Client {
	return &Client{
		clock: table.Clock,
		log:   log,
		consumer: consumer{
			deliver:       table.UpdateEndpoints,
			onContact:     table.RenewEndpointLease,
			onLoss:        table.RecordDiscoveryLoss,
			listedServers: func() int { return table.EndpointCounts().Listed },
		},
		timeouts: timeouts{response: responseTimeout, hedge: hedgeDelay, silence: silenceTimeout},
		target:   newCallTarget(address),
		polls:    make(chan bool, maxQueuedPolls),
	}
}

// SetAddress changes the address of discovery. The call in progress is cancelled and another is made at once.
// The decision module is not notified: nothing has failed, and its backoff would delay watch events of which
// the relay counts as notified 4 s after the change.
func (c *Client) SetAddress(address string) { c.target.setAddress(address) }

// RestartWatch cancels the call in progress and opens a new watch at once, for when the open watch may have
// fallen silent unnoticed. The decision module is not notified, as nothing has failed.
func (c *Client) RestartWatch() { c.target.restartCall() }

// ListVersion returns the version of the newest list applied, or 0 before the first.
func (c *Client) ListVersion() int64 { return c.listVersion.Load() }

// Watch requests a watch. It does not block.
func (c *Client) Watch() { c.requestPoll(true) }

// Fetch requests one complete list. It does not block.
func (c *Client) Fetch() { c.requestPoll(false) }

func (c *Client) requestPoll(watch bool) {
	select {
	case c.polls <- watch:
	default: // the queue is full, and each poll must be answered once: report this one as failed
		go c.consumer.deliver(decide.WatchFailed, nil)
	}
}

// discardQueuedPolls discards the polls that were requested while a call was in progress; the end of the call
// answers them too. Each answer makes the decision module poll once more, so that a second answer would
// double its rate of polls permanently.
func (c *Client) discardQueuedPolls() {
	for {
		select {
		case <-c.polls:
		default:
			return
		}
	}
}

// Run executes polls, one after the other, until the context ends. version is that of the current list, which
// may be cached from before the start.
func (c *Client) Run(ctx context.Context, version int64) {
	watch, retryNow := c.LocalAgent, c.LocalAgent
	for restarting := false; ; restarting = c.target.restartPending() {
		if !restarting && !retryNow {
			select {
			case <-ctx.Done():
				return
			case <-c.target.restartSignal:
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
		c.consumer.onLoss(c.target.lossReason(err))
		if retryNow = c.handleCallEnd(ctx, watch, err); ctx.Err() != nil {
			return
		}
	}
}

// handleCallEnd logs the end of a call and notifies the decision module if necessary. It reports whether Run
// must make another call at once.
func (c *Client) handleCallEnd(ctx context.Context, watch bool, err error) (retryNow bool) {
	switch {
	case c.target.restartPending():
		return false
	case mayRetryImmediately(err):
		c.log.Info().Err(err).Msg("discovery call failed, retrying at once")
		return true
	case c.LocalAgent:
		c.log.Info().Err(err).Msg("watch of the local agent ended, opening another")
		select {
		case <-ctx.Done():
		case <-c.clock.After(agentRetryDelay):
		}
		return true
	case watch || err != nil:
		c.log.Info().Err(err).Bool("watch", watch).Msg("discovery call ended")
		c.discardQueuedPolls()
		c.consumer.deliver(decide.WatchFailed, nil)
	}
	return false
}

const endpointsPath = "/v1/endpoints"

// watchPath returns the path that requests the watch events after a version.
func watchPath(version int64) string {
	return fmt.Sprintf("%s?watch=1&after=%d", endpointsPath, version)
}

// poll makes the calls of one poll. A watch is opened after the current version, also at a new address, which
// takes one call: discovery is one service for all relays, and by the protocol an instance that cannot tell
// the changes since that version sends the complete list. Fetching the complete list first would take a
// second call, and an expensive one for a service that all relays of a fleet start to call at the same time.
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
