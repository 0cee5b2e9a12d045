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

// Ensemble says which service is followed, and which of its paths.
type Ensemble struct {
	Addresses      []string
	Path           string
	SessionTimeout time.Duration // to ask for
}

func (e Ensemble) equal(o Ensemble) bool {
	return slices.Equal(e.Addresses, o.Addresses) && e.Path == o.Path && e.SessionTimeout == o.SessionTimeout
}

func (e Ensemble) normalized() Ensemble {
	e.Path = strings.TrimRight(e.Path, "/")
	return e
}

// Client follows one path. It implements relay.Discovery: the decision module says when to watch again after
// a failure, with jitter. Watch, Fetch and SetEnsemble may be called by any goroutine; the rest is Run's
// alone.
type Client struct {
	Ensemble // followed now
	Requests *relay.RequestTable
	Log      zerolog.Logger

	watchWanted     chan struct{}
	ensembleChanged chan struct{} // holds one token while a new ensemble waits to be followed

	mu             sync.Mutex
	wantedEnsemble Ensemble           // guarded by mu
	closeConn      context.CancelFunc // ends the connection that is open; guarded by mu

	state           sessionState
	connectFailures connectFailures
	nextAddress     int
	endpointsByNode map[string]relay.Endpoint // by name
}

// NewClient returns a client of a service.
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

// SetEnsemble follows another service, or another path, at once. The connection that is open is closed, and
// the decision module is not notified of it: nothing has failed, and the servers known stay until the new
// endpoint list is there.
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

// beginConnection takes up the wanted service. Another one knows nothing of the session that there was.
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

// recordConnectionEnd notes why a connection, or an attempt at one, has ended. Where the session has expired,
// or is refused, the next one begins a new session. After errExpired it is to have heard of all changes that
// the client has seen, so that the list goes back to no older one.
func (c *Client) recordConnectionEnd(err error, now time.Duration) {
	switch {
	case errors.Is(err, errExpired):
		c.state.sessionID, c.state.password = 0, nil
		c.connectFailures = connectFailures{}
	case c.connectFailures.recordFailure(err, now, len(c.Addresses), c.SessionTimeout):
		c.state = sessionState{}
		c.connectFailures = connectFailures{}
	}
}

// Watch asks for the endpoint list and for changes from now on.
func (c *Client) Watch() {
	select {
	case c.watchWanted <- struct{}{}:
	default: // one is waiting already
	}
}

// Fetch asks for the complete endpoint list: a watch begins with it.
func (c *Client) Fetch() { c.Watch() }

// Run follows the path whenever a watch is asked for, until the context ends.
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
		select { // what was asked for meanwhile is answered by this end too
		case <-c.watchWanted:
		default:
		}
		c.recordConnectionEnd(err, c.Requests.Clock.Now())
		c.Log.Info().Err(err).Msg("endpoint watch ended; polling with backoff")
		c.Requests.UpdateEndpoints(decide.WatchFailed, nil)
	}
}
