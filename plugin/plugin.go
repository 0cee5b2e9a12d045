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
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"github.com/rs/zerolog"

	"capersail/decide"
	"capersail/internal/relay"
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
	requests *relay.RequestTable
	clock    *relay.Clock
	config   Config
	stop     context.CancelFunc
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
	d := &Dialer{clock: relay.NewClock(), config: cfg, stop: stop}
	d.requests = relay.NewRequestTable(site, d.clock, d)
	lister := zookeeper.NewClient(zookeeper.Ensemble{Addresses: cfg.ZooKeeper, Path: cfg.Path, SessionTimeout: relay.Duration(cfg.SessionMs)}, d.requests, log)
	d.requests.UpdateEndpoints(decide.Cached, nil)
	lister.Watch()
	go lister.Run(ctx)
	go relay.NewEventLoop(d.requests, rand.Uint64(), lister, log).Run(ctx)
	return d, nil
}

// Close ends the core. Open connections go on; dials fail.
func (d *Dialer) Close() {
	d.requests.BeginShutdown()
	d.stop()
}

// dialWaiter is the client side's end of a dial. It learns the end from the call itself.
type dialWaiter struct{}

func (dialWaiter) Forward([]byte) error  { return nil }
func (dialWaiter) Close(relay.CloseKind) {}
func (dialWaiter) Wake()                 {}
func (dialWaiter) HasUnread() bool       { return false }

// Dial is for grpc.WithContextDialer. The target is not looked at: the core knows where the servers are.
func (d *Dialer) Dial(ctx context.Context, _ string) (net.Conn, error) {
	left := relay.Duration(d.config.DialMs)
	if at, ok := ctx.Deadline(); ok {
		left = min(left, time.Until(at))
	}
	call := d.requests.Open(relay.OpenRequest{Tenant: decide.NoTenant, Timeout: max(left, time.Millisecond)}, dialWaiter{})
	select {
	case <-call.Settled():
	case <-ctx.Done():
		call.ClientClosed(relay.AbortiveClose)
		return nil, ctx.Err()
	}
	if r, ok := call.ServerConn().(serverConn); ok {
		return r.placedConn, nil
	}
	_, a := call.State()
	if a.Kind == relay.Rejected {
		return nil, &RefusedError{RetryAfter: a.RetryAfter}
	}
	return nil, errors.New("no server could be reached")
}
