package plugin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/health"
	pb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/status"

	"capersail/internal/testing/fake"
)

// server is a grpc-go server that counts its unary calls; what it serves is gRPC's own health service.
type server struct {
	*grpc.Server
	address string
	calls   atomic.Int64
}

func newServer(t *testing.T) *server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{address: l.Addr().String()}
	count := func(ctx context.Context, req any, _ *grpc.UnaryServerInfo, h grpc.UnaryHandler) (any, error) {
		s.calls.Add(1)
		return h(ctx, req)
	}
	s.Server = grpc.NewServer(grpc.UnaryInterceptor(count))
	pb.RegisterHealthServer(s.Server, health.NewServer())
	go s.Serve(l)
	t.Cleanup(s.Stop)
	return s
}

type harness struct {
	t      *testing.T
	zk     *fake.ZooKeeper
	dialer *Dialer
	pb.HealthClient
}

func newHarness(t *testing.T, drainMs float64) *harness {
	t.Helper()
	zk, err := fake.NewZooKeeper("/rpc")
	if err != nil {
		t.Fatal(err)
	}
	d, err := New(Config{
		ZooKeeper: []string{zk.Address},
		Path:      "/rpc",
		SessionMs: 3000,
		DrainMs:   drainMs,
	}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	conn, err := grpc.NewClient("passthrough:///rpc", grpc.WithContextDialer(d.Dial),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.WaitForReady(true)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return &harness{t, zk, d, pb.NewHealthClient(conn)}
}

func (b *harness) setNode(name string, s *server, lifecycle string) {
	b.zk.SetNode(name, fmt.Sprintf(`{"address":%q,"lifecycle":%q}`, s.address, lifecycle))
}

func (b *harness) call() {
	b.t.Helper()
	ctx, stop := context.WithTimeout(b.t.Context(), 30*time.Second)
	defer stop()
	if _, err := b.Check(ctx, &pb.HealthCheckRequest{}); err != nil {
		b.t.Fatal(err)
	}
}

// openStream begins a call that stays in flight and returns its receiving end.
func (b *harness) openStream() (func() error, context.CancelFunc) {
	b.t.Helper()
	ctx, stop := context.WithTimeout(b.t.Context(), 30*time.Second)
	w, err := b.Watch(ctx, &pb.HealthCheckRequest{})
	if err == nil {
		_, err = w.Recv()
	}
	if err != nil {
		b.t.Fatal(err)
	}
	return func() error { _, err := w.Recv(); return err }, stop
}

// callUntilReached repeats calls until a server is reached.
func (b *harness) callUntilReached(s *server) {
	b.t.Helper()
	b.callUntilReachedLosing(s, 0)
}

// callUntilReachedLosing is callUntilReached, where up to lost calls may fail as Unavailable: those that were
// written to a server as it died, which gRPC does not send again, since they may have run.
func (b *harness) callUntilReachedLosing(s *server, lost int) {
	b.t.Helper()
	for i, before := 0, s.calls.Load(); s.calls.Load() == before; i++ {
		if i > 3000 {
			b.t.Fatal("calls never reach the other server")
		}
		ctx, stop := context.WithTimeout(b.t.Context(), 30*time.Second)
		_, err := b.Check(ctx, &pb.HealthCheckRequest{})
		stop()
		if err != nil && (status.Code(err) != codes.Unavailable || lost == 0) {
			b.t.Fatal(err)
		}
		if err != nil {
			lost--
		}
		time.Sleep(time.Millisecond)
	}
}

// A drain lets the call in flight go on, brings new ones elsewhere, and ends the connection after it.
func TestDrainLetsCallsInFlightEnd(t *testing.T) {
	b := newHarness(t, 20_000)
	one, two := newServer(t), newServer(t)
	b.setNode("one", one, "Ready")
	b.call()
	recv, stop := b.openStream()
	defer stop()
	b.setNode("two", two, "Ready")
	b.setNode("one", one, "Terminating")
	b.callUntilReached(two)
	before := one.calls.Load()
	for range 20 {
		b.call()
	}
	if one.calls.Load() != before {
		t.Error("a draining server was given new calls")
	}
	ended := make(chan error, 1)
	go func() { ended <- recv() }()
	select {
	case err := <-ended:
		t.Fatalf("the call in flight was cut off: %v", err)
	case <-time.After(50 * time.Millisecond):
	}
	stop()
	for i := 0; b.dialer.requests.MigrateClients(0) != 1; i++ {
		if i > 3000 {
			t.Fatalf("%d connections are kept", b.dialer.requests.MigrateClients(0))
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// The wait for calls in flight is bounded.
func TestDrainIsBounded(t *testing.T) {
	b := newHarness(t, 100)
	one, two := newServer(t), newServer(t)
	b.setNode("one", one, "Ready")
	recv, stop := b.openStream()
	defer stop()
	b.setNode("two", two, "Ready")
	b.setNode("one", one, "Terminating")
	if err := recv(); status.Code(err) != codes.Unavailable {
		t.Errorf("the call in flight ended with %v", err)
	}
	b.callUntilReached(two)
}

// gRPC dials again through the core once a server has died.
func TestKilledServerIsReplaced(t *testing.T) {
	b := newHarness(t, 1000)
	one, two := newServer(t), newServer(t)
	b.setNode("one", one, "Ready")
	b.call()
	b.setNode("two", two, "Ready")
	one.Stop()
	b.callUntilReachedLosing(two, 1)
}

func TestDialWithoutServersIsRejected(t *testing.T) {
	b := newHarness(t, 1000)
	_, err := b.dialer.Dial(t.Context(), "")
	var refused *RefusedError
	if !errors.As(err, &refused) {
		t.Fatalf("without a server: %v", err)
	}
	if _, err := New(Config{}, zerolog.Nop()); !errors.Is(err, ErrNoServers) {
		t.Errorf("a configuration without addresses: %v", err)
	}
}
