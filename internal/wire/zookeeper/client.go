package zookeeper

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"capersail/decide"
	"capersail/internal/relay"
	"capersail/internal/wire/splice"
)

// Ensemble says which service is followed, and which of its paths.
type Ensemble struct {
	Addresses      []string
	Path           string
	SessionTimeout time.Duration // the session time-out to ask for
}

func (e Ensemble) equal(o Ensemble) bool {
	return slices.Equal(e.Addresses, o.Addresses) && e.Path == o.Path && e.SessionTimeout == o.SessionTimeout
}

// Client follows one path. It implements relay.Discovery: the module says when to watch again after a
// failure, with jitter.
type Client struct {
	Ensemble
	Requests *relay.RequestTable
	Log      zerolog.Logger

	watchWanted     chan struct{}
	ensembleChanged chan struct{} // holds one token while a new ensemble waits to be followed

	mu        sync.Mutex
	wanted    Ensemble
	closeConn context.CancelFunc // ends the connection that is open

	sessionID      int64 // of the session, 0 for none
	password       []byte
	lastZxid       int64
	nextAddress    int // which address to try
	nodes          map[string]relay.Endpoint
	sessionTimeout time.Duration // the session time-out
}

// NewClient returns a client of a service.
func NewClient(e Ensemble, x *relay.RequestTable, log zerolog.Logger) *Client {
	e.Path = strings.TrimRight(e.Path, "/")
	return &Client{Ensemble: e, wanted: e, Requests: x, Log: log, watchWanted: make(chan struct{}, 1), ensembleChanged: make(chan struct{}, 1),
		nodes: map[string]relay.Endpoint{}}
}

// SetEnsemble follows another service, or another path, at once. The connection that is open is ended, and the
// module does not hear of it: nothing has failed, and the servers known stay until the new list is there.
func (c *Client) SetEnsemble(e Ensemble) {
	e.Path = strings.TrimRight(e.Path, "/")
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.equal(c.wanted) {
		return
	}
	c.wanted = e
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
	if !c.wanted.equal(c.Ensemble) {
		c.Ensemble, c.sessionID, c.password, c.lastZxid, c.nextAddress = c.wanted, 0, nil, 0, 0
	}
	ctx, c.closeConn = context.WithCancel(ctx)
	return ctx
}

// Watch asks for the list and for changes from now on.
func (c *Client) Watch() {
	select {
	case c.watchWanted <- struct{}{}:
	default: // one is waiting already
	}
}

// Fetch asks for the whole list: a watch begins with it.
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
		if errors.Is(err, errExpired) { // the next watch begins a new session and reads the whole list again
			c.sessionID, c.password = 0, nil
		}
		c.Log.Info().Err(err).Msg("watch of the ephemeral nodes ended")
		c.Requests.UpdateEndpoints(decide.WatchFailed, nil)
	}
}

// connect connects to the next address and begins or takes up the session.
func (c *Client) connect(ctx context.Context) (*conn, error) {
	address := c.Addresses[c.nextAddress%len(c.Addresses)]
	c.nextAddress++
	raw, err := splice.Dial(ctx, address, c.SessionTimeout/3)
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	context.AfterFunc(ctx, func() { raw.Close() })
	n := &conn{Conn: raw, buffered: bufio.NewReader(raw), clock: c.Requests.Clock, nodeByXid: map[int32]string{}, snapshotDue: true}
	h, err := n.handshake(sessionState{sessionID: c.sessionID, password: c.password, lastZxid: c.lastZxid, timeout: c.SessionTimeout})
	if err != nil {
		raw.Close()
		return nil, err
	}
	c.sessionTimeout, c.sessionID, c.password = h.timeout, h.sessionID, h.password
	return n, nil
}

// watchPath holds one connection: it reads the whole list, then every change, and pings. A service that is
// silent for two thirds of the session has lost us.
func (c *Client) watchPath(ctx context.Context) error {
	n, err := c.connect(ctx)
	if err != nil {
		return err
	}
	defer n.Close()
	if n.childrenXid, err = n.sendWatch(opGetChildren, c.Path, c.sessionTimeout/3); err != nil {
		return err
	}
	heard := n.clock.Now()
	for {
		p, err := n.readFrame(n.clock.Now() + c.sessionTimeout/3)
		if splice.TimedOut(err) && n.clock.Now()-heard < c.sessionTimeout*2/3 {
			if err := n.writeFrame(encoder{}.i32(xidPing).i32(opPing), c.sessionTimeout/3); err != nil {
				return fmt.Errorf("ping: %w", err)
			}
			continue
		}
		if err != nil {
			return fmt.Errorf("read: %w", err)
		}
		heard = n.clock.Now()
		if err := c.handleFrame(n, &decoder{rest: p}); err != nil {
			return err
		}
	}
}
