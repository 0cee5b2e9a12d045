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

// server is a grpc-go server of gRPC's health service. It counts its unary calls.
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

func (h *harness) setNode(name string, s *server, lifecycle string) {
	h.zk.SetNode(name, fmt.Sprintf(`{"address":%q,"lifecycle":%q}`, s.address, lifecycle))
}

func (h *harness) call() {
	h.t.Helper()
	ctx, stop := context.WithTimeout(h.t.Context(), 30*time.Second)
	defer stop()
	if _, err := h.Check(ctx, &pb.HealthCheckRequest{}); err != nil {
		h.t.Fatal(err)
	}
}

// openStream starts a streaming call that stays in flight. It returns its receive function and its cancel
// function.
func (h *harness) openStream() (func() error, context.CancelFunc) {
	h.t.Helper()
	ctx, stop := context.WithTimeout(h.t.Context(), 30*time.Second)
	w, err := h.Watch(ctx, &pb.HealthCheckRequest{})
	if err == nil {
		_, err = w.Recv()
	}
	if err != nil {
		h.t.Fatal(err)
	}
	return func() error { _, err := w.Recv(); return err }, stop
}

// callUntilReached repeats calls until one reaches the server s.
func (h *harness) callUntilReached(s *server) {
	h.t.Helper()
	h.callUntilReachedLosing(s, 0)
}

// callUntilReachedLosing is like callUntilReached, but up to lost calls may fail with Unavailable. gRPC does
// not retry calls that were written to a server as it died, since they may have run.
func (h *harness) callUntilReachedLosing(s *server, lost int) {
	h.t.Helper()
	for i, before := 0, s.calls.Load(); s.calls.Load() == before; i++ {
		if i > 3000 {
			h.t.Fatal("no call reached the wanted server in 3000 calls")
		}
		ctx, stop := context.WithTimeout(h.t.Context(), 30*time.Second)
		_, err := h.Check(ctx, &pb.HealthCheckRequest{})
		stop()
		if err != nil && (status.Code(err) != codes.Unavailable || lost == 0) {
			h.t.Fatal(err)
		}
		if err != nil {
			lost--
		}
		time.Sleep(time.Millisecond)
	}
}

// When a server drains, the call in flight must continue, new calls must go to other servers, and the
// connection must be closed after the call in flight.
func TestDrainLetsCallsInFlightEnd(t *testing.T) {
	h := newHarness(t, 20_000)
	one, two := newServer(t), newServer(t)
	h.setNode("one", one, "Ready")
	h.call()
	recv, stop := h.openStream()
	defer stop()
	h.setNode("two", two, "Ready")
	h.setNode("one", one, "Terminating")
	h.callUntilReached(two)
	before := one.calls.Load()
	for range 20 {
		h.call()
	}
	if one.calls.Load() != before {
		t.Error("draining server got new calls, want none")
	}
	ended := make(chan error, 1)
	go func() { ended <- recv() }()
	select {
	case err := <-ended:
		t.Fatalf("call in flight on a draining server: got error %v, want it to continue", err)
	case <-time.After(50 * time.Millisecond):
	}
	stop()
	for i := 0; h.dialer.requests.MigrateClients(0) != 1; i++ {
		if i > 3000 {
			t.Fatalf("after the call in flight ended: got %d connections, want 1",
				h.dialer.requests.MigrateClients(0))
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// A draining connection must be closed after DrainMs, even if calls are in flight.
func TestDrainIsBounded(t *testing.T) {
	h := newHarness(t, 100)
	one, two := newServer(t), newServer(t)
	h.setNode("one", one, "Ready")
	recv, stop := h.openStream()
	defer stop()
	h.setNode("two", two, "Ready")
	h.setNode("one", one, "Terminating")
	if err := recv(); status.Code(err) != codes.Unavailable {
		t.Errorf("call in flight after DrainMs: got error %v, want code Unavailable", err)
	}
	h.callUntilReached(two)
}

// After a server has died, gRPC must dial again through the Dialer and reach the other server.
func TestKilledServerIsReplaced(t *testing.T) {
	h := newHarness(t, 1000)
	one, two := newServer(t), newServer(t)
	h.setNode("one", one, "Ready")
	h.call()
	h.setNode("two", two, "Ready")
	one.Stop()
	h.callUntilReachedLosing(two, 1)
}

func TestDialWithoutServersIsRejected(t *testing.T) {
	h := newHarness(t, 1000)
	_, err := h.dialer.Dial(t.Context(), "")
	var refused *RefusedError
	if !errors.As(err, &refused) {
		t.Fatalf("dial without servers: got error %v, want a RefusedError", err)
	}
	if _, err := New(Config{}, zerolog.Nop()); !errors.Is(err, ErrNoServers) {
		t.Errorf("New without ZooKeeper addresses: got error %v, want ErrNoServers", err)
	}
}
