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

// Dialer places connections. It is safe for use by many goroutines.
type Dialer struct {
	requests    *relay.RequestTable
	dialTimeout time.Duration
	stop        context.CancelFunc
}

// ErrUnreachable says that a dial has tried servers, and that none could be reached.
var ErrUnreachable = errors.New("no server could be reached")

// RefusedError says that the dial was rejected: no server takes the connection now.
type RefusedError struct{ RetryAfter time.Duration }

// Error names the time to wait.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("rejected: retry after %v", e.RetryAfter)
}

// New starts the core of one client, with goroutines that Close ends. Its errors are ErrNoServers and
// ErrInvalidTime.
func New(cfg Config, log zerolog.Logger) (*Dialer, error) {
	t, err := cfg.timeouts()
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	clock := relay.NewClock()
	servers := &serverDialer{clock: clock, connectTimeout: t.connect, drainTimeout: t.drain}
	requests := relay.NewRequestTable(cfg.deployment(t), clock, servers)
	ensemble := zookeeper.Ensemble{Addresses: cfg.ZooKeeper, Path: cfg.Path, SessionTimeout: t.session}
	endpoints := zookeeper.NewClient(ensemble, requests, log)
	requests.UpdateEndpoints(decide.CachedSnapshot, nil)
	endpoints.Watch()
	go endpoints.Run(ctx)
	go relay.NewEventLoop(requests, rand.Uint64(), endpoints, log).Run(ctx)
	return &Dialer{requests: requests, dialTimeout: t.dial, stop: stop}, nil
}

// Close ends the core. Open connections go on; dials fail.
func (d *Dialer) Close() {
	d.requests.BeginShutdown()
	d.stop()
}

// dialWaiter is the client side's end of a dial. It learns the end from the request itself.
type dialWaiter struct{}

func (dialWaiter) Forward([]byte) error  { return nil }
func (dialWaiter) Close(relay.CloseKind) {}
func (dialWaiter) Wake()                 {}
func (dialWaiter) HasUnread() bool       { return false }

// minDialTimeout is what a dial gets at least, however near its context's deadline is.
const minDialTimeout = time.Millisecond

// Dial is for grpc.WithContextDialer. The target is not looked at: the core knows where the servers are. Its
// errors are a RefusedError, ErrUnreachable and the context's.
func (d *Dialer) Dial(ctx context.Context, _ string) (net.Conn, error) {
	timeout := d.dialTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(deadline))
	}
	request := d.requests.Open(relay.RequestParams{
		Tenant:  decide.NoTenant,
		Timeout: max(timeout, minDialTimeout),
	}, dialWaiter{})
	select {
	case <-request.EstablishedOrEnded():
	case <-ctx.Done():
		request.ClientClosed(relay.AbortiveClose)
		return nil, ctx.Err()
	}
	if server, ok := request.ServerConn().(serverConn); ok {
		return server.placedConn, nil
	}
	if _, answer := request.State(); answer.Kind == relay.Rejected {
		return nil, &RefusedError{RetryAfter: answer.RetryAfter}
	}
	return nil, ErrUnreachable
}
