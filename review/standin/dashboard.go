package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials/insecure"
	pb "google.golang.org/grpc/health/grpc_health_v1"

	"capersail/plugin"
)

const (
	rpcRoot      = "/rpc/servers"
	dialSpacing  = 10 * time.Millisecond // between the first connections of a dashboard
	callInterval = 100 * time.Millisecond
	callTimeout  = 5 * time.Second
)

var errNotConnected = errors.New("channel not connected within its time")

// runDashboard is the process of a customer's dashboard: it calls servers over grpc-go through the plug-in, on
// a number of channels. It says `ready` once all are connected, calls from the first byte of its standard input
// on, and ends with it.
func runDashboard(args []string) error {
	if len(args) != 3 {
		return errors.New("usage: standin dashboard REGISTRY CHANNELS CLIENTS")
	}
	channels, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	clients, err := strconv.Atoi(args[2])
	if err != nil {
		return err
	}
	dialer, err := plugin.New(plugin.Config{
		ZooKeeper: []string{args[0]},
		Path:      rpcRoot,
		Clients:   clients,
	}, zerolog.New(os.Stderr))
	if err != nil {
		return err
	}
	defer dialer.Close()
	all := make([]*grpc.ClientConn, channels)
	for i := range all {
		if all[i], err = openChannel(dialer); err != nil {
			return err
		}
		defer all[i].Close()
		time.Sleep(dialSpacing)
	}
	fmt.Println("ready")
	os.Stdin.Read(make([]byte, 1))
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var answered, failed atomic.Int64
	var calls sync.WaitGroup
	for _, channel := range all {
		calls.Go(func() { callUntil(ctx, pb.NewHealthClient(channel), &answered, &failed) })
	}
	io.Copy(io.Discard, os.Stdin)
	stop()
	calls.Wait()
	fmt.Printf("%d calls answered, %d failed\n", answered.Load(), failed.Load())
	return nil
}

// openChannel opens a channel and waits until it is connected.
func openChannel(dialer *plugin.Dialer) (*grpc.ClientConn, error) {
	channel, err := grpc.NewClient("passthrough:///rpc", grpc.WithContextDialer(dialer.Dial),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.WaitForReady(true)))
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithTimeout(context.Background(), callTimeout)
	defer stop()
	for state := channel.GetState(); state != connectivity.Ready; state = channel.GetState() {
		channel.Connect()
		if !channel.WaitForStateChange(ctx, state) {
			return nil, errNotConnected
		}
	}
	return channel, nil
}

// callUntil makes a call at each interval until the context ends.
func callUntil(ctx context.Context, client pb.HealthClient, answered, failed *atomic.Int64) {
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		_, err := client.Check(call, &pb.HealthCheckRequest{})
		cancel()
		switch {
		case ctx.Err() != nil:
		case err != nil:
			failed.Add(1)
		default:
			answered.Add(1)
		}
		select {
		case <-ctx.Done():
		case <-time.After(callInterval):
		}
	}
}
