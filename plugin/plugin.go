// Package plugin embeds the relay's decision module in an RPC client. It is a dialer for grpc-go: the
// decision module chooses a server for each connection. The servers are registered as ephemeral nodes in
// ZooKeeper.
//
//	d, err := plugin.New(plugin.Config{ZooKeeper: addresses, Path: "/rpc/servers"}, log)
//	conn, err := grpc.NewClient("passthrough:///rpc", grpc.WithContextDialer(d.Dial), ...)
//
// When a server begins to drain, its connections are closed after their calls in flight or after a bounded
// wait, and gRPC dials again through the Dialer.
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

// Dialer chooses a server for each connection and dials it. It is safe for concurrent use.
type Dialer struct {
	requests    *relay.RequestTable
	dialTimeout time.Duration
	stop        context.CancelFunc
}

// ErrUnreachable is returned by Dial if servers were tried and none could be reached.
var ErrUnreachable = errors.New("plugin: none of the servers tried could be reached")

// RefusedError is returned by Dial if no server accepts connections now. RetryAfter is the time to wait
// before the next dial.
type RefusedError struct{ RetryAfter time.Duration }

// Error returns a text with the time to wait.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("plugin: dial rejected, no server accepts connections; retry after %v", e.RetryAfter)
}

// New starts the decision module of one client, with goroutines that run until Close. The error is
// ErrNoServers or ErrInvalidTime.
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

// Close stops the Dialer. Open connections stay open; further dials fail.
func (d *Dialer) Close() {
	d.requests.BeginShutdown()
	d.stop()
}

// dialWaiter is the client connection of a dial. It does nothing, as Dial waits for the request itself.
type dialWaiter struct{}

func (dialWaiter) Forward([]byte) error  { return nil }
func (dialWaiter) Close(relay.CloseKind) {}
func (dialWaiter) Wake()                 {}
func (dialWaiter) HasUnread() bool       { return false }

// minDialTimeout is the shortest time-out of a dial, even if its context's deadline is nearer.
const minDialTimeout = time.Millisecond

// Dial dials a server chosen by the decision module. It is for grpc.WithContextDialer. The target is ignored,
// as the servers are found in ZooKeeper. The error is a RefusedError, ErrUnreachable or the error of the
// context.
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
