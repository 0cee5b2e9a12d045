// Package plugin is the relay's core inside an RPC client: a dialer for grpc-go, whose connections the
// decision module places on servers that are ephemeral nodes.
//
//	d, err := plugin.New(plugin.Config{ZooKeeper: addresses, Path: "/rpc/servers"}, log)
//	conn, err := grpc.NewClient("passthrough:///rpc", grpc.WithContextDialer(d.Dial), ...)
//
// When a server begins to drain, its connections end after their calls in flight or a bounded wait, and
// gRPC dials again through the core.
package plugin

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"capersail/decide"
	"capersail/internal/relay"
	"capersail/internal/wire/splice"
	"capersail/internal/wire/zookeeper"
)

// Config says where the servers are found and how long things may take. Only ZooKeeper and Path are needed.
type Config struct {
	ZooKeeper []string // addresses of the service of ephemeral nodes
	Path      string   // whose children are the servers
	SessionMs float64  // 6000 if 0
	Zone      string   // this client's zone, one of Zones
	Zones     []string
	ConnectMs float64 // for one attempt, 1000 if 0
	DialMs    float64 // for a dial with its retry, 5000 if 0
	DrainMs   float64 // how long calls in flight may keep a connection to a draining server, 10000 if 0
	Clients   int     // how many clients place connections as this one does, 1 if 0
}

// Dialer places connections. It is safe for use by many goroutines.
type Dialer struct {
	x     *relay.RequestTable
	clock *relay.Clock
	cfg   Config
	stop  context.CancelFunc
}

// RefusedError says that no server takes the connection now.
type RefusedError struct{ RetryAfter time.Duration }

func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused: come again after %v", e.RetryAfter)
}

// New starts the core of one client. Close ends it.
func New(cfg Config, log zerolog.Logger) (*Dialer, error) {
	if len(cfg.ZooKeeper) == 0 || len(cfg.Path) == 0 || cfg.Path[0] != '/' {
		return nil, errors.New("plugin: ZooKeeper and Path must be set")
	}
	for _, d := range []struct {
		to    *float64
		value float64
	}{{&cfg.SessionMs, 6000}, {&cfg.ConnectMs, 1000}, {&cfg.DialMs, 5000}, {&cfg.DrainMs, 10000}} {
		if *d.to == 0 {
			*d.to = d.value
		}
		if !(*d.to > 0) {
			return nil, errors.New("plugin: times must be positive")
		}
	}
	site := &relay.Deployment{Zones: map[string]decide.Zone{}, Settings: decide.Settings{Relays: max(cfg.Clients, 1), Zones: len(cfg.Zones),
		MaxAttempts: 2, Probes: true, RetryAfter: true, MaxRetryAfter: relay.Duration(cfg.DialMs),
		ConnectTimeout: relay.Duration(cfg.ConnectMs), Tick: relay.Duration(1), MustSubscribe: true,
		Rules:   decide.Rules{PollWithin: relay.Duration(cfg.SessionMs)},
		Classes: []decide.ClassInfo{{LatencyObjective: relay.Duration(cfg.ConnectMs), Deadline: relay.Duration(cfg.DialMs), PriorityWeight: 1}}}}
	for i, z := range cfg.Zones {
		site.Zones[z] = decide.Zone(i)
	}
	site.Settings.Zone = site.Zones[cfg.Zone]
	ctx, stop := context.WithCancel(context.Background())
	d := &Dialer{clock: relay.NewClock(), cfg: cfg, stop: stop}
	d.x = relay.NewRequestTable(site, d.clock, d)
	lister := zookeeper.NewClient(zookeeper.Ensemble{Addresses: cfg.ZooKeeper, Path: cfg.Path, SessionTimeout: relay.Duration(cfg.SessionMs)}, d.x, log)
	d.x.UpdateEndpoints(decide.Cached, nil)
	lister.Watch()
	go lister.Run(ctx)
	go relay.NewEventLoop(d.x, rand.Uint64(), lister, log).Run(ctx)
	return d, nil
}

// Close ends the core. Open connections go on; dials fail.
func (d *Dialer) Close() {
	d.x.BeginShutdown()
	d.stop()
}

// waiter is the client side's end of a dial. It learns the end from the call itself.
type waiter struct{}

func (waiter) Forward([]byte) error  { return nil }
func (waiter) Close(relay.CloseKind) {}
func (waiter) Wake()                 {}
func (waiter) HasUnread() bool       { return false }

// Dial is for grpc.WithContextDialer. The target is not looked at: the core knows where the servers are.
func (d *Dialer) Dial(ctx context.Context, _ string) (net.Conn, error) {
	left := relay.Duration(d.cfg.DialMs)
	if at, ok := ctx.Deadline(); ok {
		left = min(left, time.Until(at))
	}
	call := d.x.Open(relay.OpenRequest{Tenant: decide.NoTenant, Timeout: max(left, time.Millisecond)}, waiter{})
	select {
	case <-call.Settled():
	case <-ctx.Done():
		call.ClientClosed(relay.AbortiveClose)
		return nil, ctx.Err()
	}
	if r, ok := call.ServerConn().(remote); ok {
		return r.conn, nil
	}
	_, a := call.State()
	if a.Kind == relay.Rejected {
		return nil, &RefusedError{RetryAfter: a.RetryAfter}
	}
	return nil, errors.New("no server could be reached")
}

// StartAttempt makes one attempt; it is part of the core's server side.
func (d *Dialer) StartAttempt(c *relay.Request, a relay.Attempt) { go d.try(c, a) }

func (d *Dialer) try(c *relay.Request, a relay.Attempt) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	placed := &conn{d: d, call: c, no: a.Number, stop: stop, first: true}
	if !c.Attach(a.Number, remote{placed}) {
		c.EndAttempt(a.Number, decide.Superseded, decide.NoLoadReport)
		return
	}
	raw, err := splice.Dial(ctx, a.Server.Address, min(a.Deadline-d.clock.Now(), relay.Duration(d.cfg.ConnectMs)))
	if err != nil {
		c.EndAttempt(a.Number, splice.DialStatus(err), decide.NoLoadReport)
		return
	}
	placed.Conn = raw // Begin and Up order this before every use by the client side
	if !c.BeginWrite(a.Number) || c.Establish(a.Number) == nil {
		raw.Close()
		c.EndAttempt(a.Number, decide.Superseded, decide.NoLoadReport)
		return
	}
	placed.ready()
}

// Probe asks whether a server takes connections; it is part of the core's server side. Load comes from the
// server's own node.
func (d *Dialer) Probe(to relay.Server, done func(decide.Status, decide.LoadReport)) {
	go func() {
		report, status := decide.NoLoadReport, decide.OK
		report.Load = to.Load
		raw, err := splice.Dial(context.Background(), to.Address, relay.Duration(d.cfg.ConnectMs))
		if err == nil {
			raw.Close()
		} else {
			status = splice.ProbeStatus(err)
		}
		done(status, report)
	}()
}

// preface is what an HTTP/2 client writes first. Behind TLS it cannot be seen.
var preface = []byte("PRI * HTTP/2.0\r\n")

// goAway is the frame with which an HTTP/2 server ends a connection in order: no new streams, those there
// are go on.
var goAway = []byte{0, 0, 8, 7, 0, 0, 0, 0, 0, 0x7f, 0xff, 0xff, 0xff, 0, 0, 0, 0}

// conn is a placed connection. It follows the server's frames, so that it can put a GOAWAY between two of
// them when the server begins to drain: gRPC then ends it after the calls in flight.
type conn struct {
	net.Conn
	d    *Dialer
	call *relay.Request
	no   int
	stop func()

	mu     sync.Mutex
	up     bool // the client side has it, or may
	ended  bool
	woken  bool
	leave  bool // a GOAWAY is to be put in
	said   bool
	plain  bool // HTTP/2 without TLS
	wrote  bool
	lost   bool // the server ended it
	timer  *time.Timer
	first  bool   // no frame has come yet: the first must be the server's own settings
	head   []byte // of the frame that is being read
	body   int    // bytes of it still to come
	inject []byte
}

// remote is a placed connection as the core knows it, which calls it with its own lock held.
type remote struct{ *conn }

// Forward is never used: gRPC writes by itself.
func (r remote) Forward(p []byte) error {
	_, err := r.conn.Write(p)
	return err
}

// Close ends the dial or the connection; gRPC meets the end and tells the core.
func (r remote) Close(relay.CloseKind) {
	r.stop()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.up {
		go r.conn.Close()
	}
}

// Wake makes the connection look at its call.
func (r remote) Wake() { r.wake() }

// ready takes up a wake that came during the dial.
func (c *conn) ready() {
	c.mu.Lock()
	c.up = true
	woken := c.woken
	c.mu.Unlock()
	if state, _ := c.call.State(); state == relay.Ended { // the dial's caller left just now
		c.Close()
	}
	if woken {
		c.wake()
	}
}

// wake looks whether the connection is to end, and lets a pending read put the GOAWAY in.
func (c *conn) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.woken = true
	if !c.up || c.ended || c.leave {
		return
	}
	go func() { // the core that wakes holds its lock
		if moving, _ := c.call.Migrating(); !moving && !c.call.ServerDraining() {
			return
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.ended || c.leave {
			return
		}
		c.leave = true
		c.timer = time.AfterFunc(relay.Duration(c.d.cfg.DrainMs), func() { c.Conn.Close() })
		c.Conn.SetReadDeadline(time.Unix(1, 0))
	}()
}

// Close ends the connection for gRPC and tells the core, once.
func (c *conn) Close() error {
	c.mu.Lock()
	if c.ended {
		c.mu.Unlock()
		return nil
	}
	c.ended = true
	status := decide.OK
	switch {
	case c.leave:
		status = decide.Cancelled
	case c.lost:
		status = decide.Reset
	}
	if c.timer != nil {
		c.timer.Stop()
	}
	c.mu.Unlock()
	err := c.Conn.Close()
	c.call.EndAttempt(c.no, status, decide.NoLoadReport)
	return err
}

func (c *conn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	for {
		c.mu.Lock()
		between := c.plain && !c.first && c.body == 0 && len(c.head) == 0
		if c.leave && !c.said && between {
			c.said, c.inject = true, goAway
		}
		if c.leave && (c.said || !c.plain) {
			c.Conn.SetReadDeadline(time.Time{})
		}
		if len(c.inject) > 0 {
			n := copy(p, c.inject)
			c.inject = c.inject[n:]
			c.mu.Unlock()
			return n, nil
		}
		want := len(p)
		if c.plain { // reads end where a frame's header or body does
			if c.body > 0 {
				want = min(want, c.body)
			} else {
				want = min(want, 9-len(c.head))
			}
		}
		if c.leave && !between { // the wake's deadline has done its work: the frame's rest is waited for
			c.Conn.SetReadDeadline(time.Time{})
		}
		c.mu.Unlock()
		n, err := c.Conn.Read(p[:want])
		c.mu.Lock()
		c.follow(p[:n])
		woken := errors.Is(err, os.ErrDeadlineExceeded) && c.leave && n == 0
		c.lost = c.lost || err != nil && !woken
		c.mu.Unlock()
		if !woken {
			return n, err
		}
	}
}

// follow keeps count of the server's frames.
func (c *conn) follow(p []byte) {
	if !c.plain || len(p) == 0 {
		return
	}
	if c.body > 0 {
		c.body -= len(p)
	} else if c.head = append(c.head, p...); len(c.head) == 9 {
		c.body = int(binary.BigEndian.Uint32(append([]byte{0}, c.head[:3]...)))
		c.head = c.head[:0]
	}
	c.first = c.first && (c.body > 0 || len(c.head) > 0)
}

func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if !c.wrote && len(p) > 0 {
		c.wrote, c.plain = true, bytes.HasPrefix(p, preface[:min(len(p), len(preface))])
	}
	c.mu.Unlock()
	return c.Conn.Write(p)
}
