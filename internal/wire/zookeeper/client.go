package zookeeper

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"capersail/decide"
	"capersail/internal/relay"
)

// Ensemble is the address of a ZooKeeper ensemble and of an endpoint list in it.
type Ensemble struct {
	Addresses      []string
	Path           string        // parent of the endpoints' nodes
	SessionTimeout time.Duration // requested of the service, which may grant another
}

func (e Ensemble) equal(o Ensemble) bool {
	return slices.Equal(e.Addresses, o.Addresses) && e.Path == o.Path && e.SessionTimeout == o.SessionTimeout
}

// normalized returns e with a Path without trailing slashes.
func (e Ensemble) normalized() Ensemble {
	e.Path = strings.TrimRight(e.Path, "/")
	return e
}

// Client watches the endpoint list at a path. It implements relay.Discovery: after a failure the decision
// module decides when to watch again, with jitter. Watch, Fetch and SetEnsemble may be called concurrently;
// all fields without another guard are used only by Run.
type Client struct {
	Ensemble // watched now
	Requests *relay.RequestTable
	Log      zerolog.Logger

	watchWanted     chan struct{}
	ensembleChanged chan struct{} // holds a token while a change of the ensemble is pending

	mu             sync.Mutex
	wantedEnsemble Ensemble           // to watch from the next connection on; guarded by mu
	closeConn      context.CancelFunc // closes the open connection; guarded by mu

	state           sessionState
	connectFailures connectFailures
	nextAddress     int
	endpointsByNode map[string]relay.Endpoint // by the name of the node
}

// NewClient returns a client that watches the endpoint list of e and passes it to requests.
func NewClient(e Ensemble, requests *relay.RequestTable, log zerolog.Logger) *Client {
	e = e.normalized()
	return &Client{
		Ensemble:        e,
		wantedEnsemble:  e,
		Requests:        requests,
		Log:             log,
		watchWanted:     make(chan struct{}, 1),
		ensembleChanged: make(chan struct{}, 1),
		endpointsByNode: map[string]relay.Endpoint{},
	}
}

// SetEnsemble changes the ensemble or the path at once. The open connection is closed, and the decision
// module is not notified of that: nothing has failed, and the current endpoint list stays valid until the new
// one has been read.
func (c *Client) SetEnsemble(e Ensemble) {
	e = e.normalized()
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.equal(c.wantedEnsemble) {
		return
	}
	c.wantedEnsemble = e
	select {
	case c.ensembleChanged <- struct{}{}:
	default:
	}
	if c.closeConn != nil {
		c.closeConn()
	}
}

// beginConnection switches to the wanted ensemble and returns the context of the next connection. If the
// ensemble has changed, the session is discarded, as another ensemble does not know it.
func (c *Client) beginConnection(ctx context.Context) context.Context {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.ensembleChanged:
	default:
	}
	if !c.wantedEnsemble.equal(c.Ensemble) {
		c.Ensemble = c.wantedEnsemble
		c.state = sessionState{}
		c.nextAddress = 0
	}
	ctx, c.closeConn = context.WithCancel(ctx)
	return ctx
}

// recordConnectionEnd records why a connection, or an attempt to connect, has ended. If the session has
// expired or has been refused for its whole time-out, the next connection begins a new session. After
// errExpired lastZxid is kept, so that only a replica with all changes that the client has seen accepts the
// new session, and the endpoint list does not go back to an older one.
func (c *Client) recordConnectionEnd(err error, now time.Duration) {
	switch {
	case errors.Is(err, errExpired):
		c.state.sessionID, c.state.password = 0, nil
		c.connectFailures = connectFailures{}
	case c.connectFailures.record(err, now, len(c.Addresses), c.SessionTimeout):
		c.state = sessionState{}
		c.connectFailures = connectFailures{}
	}
}

// Watch requests the endpoint list and its changes. It does not block.
func (c *Client) Watch() {
	select {
	case c.watchWanted <- struct{}{}:
	default: // a request is pending already
	}
}

// Fetch requests the complete endpoint list, by a watch, which begins with it.
func (c *Client) Fetch() { c.Watch() }

// Run opens a watch whenever one is requested, until the context ends.
func (c *Client) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.ensembleChanged:
		case <-c.watchWanted:
		}
		err := c.watchPath(c.beginConnection(ctx))
		c.closeConn()
		if ctx.Err() != nil {
			return
		}
		if len(c.ensembleChanged) > 0 {
			continue
		}
		select { // a watch requested meanwhile is answered by this end too
		case <-c.watchWanted:
		default:
		}
		c.recordConnectionEnd(err, c.Requests.Clock.Now())
		c.Log.Info().Err(err).Msg("watch of the endpoint list ended, polling with backoff")
		c.Requests.UpdateEndpoints(decide.WatchFailed, nil)
	}
}
