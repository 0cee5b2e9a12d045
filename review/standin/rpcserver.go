package main

import (
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/health"
	pb "google.golang.org/grpc/health/grpc_health_v1"
)

// wayBetweenHalls is how long a message takes from one hall to another: 0.7 to 1.3 ms by the brief.
const wayBetweenHalls = time.Millisecond

// rpcServer is a server of grpc-go, with its health service, in another hall than its clients.
type rpcServer struct {
	net.Listener
	name     string
	accepted atomic.Int64 // connections, with those that are probes
}

func startRPCServer(name string) (*rpcServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &rpcServer{Listener: l, name: name}
	server := grpc.NewServer()
	pb.RegisterHealthServer(server, health.NewServer())
	go server.Serve(s)
	return s, nil
}

// Accept counts a connection.
func (s *rpcServer) Accept() (net.Conn, error) {
	c, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	s.accepted.Add(1)
	return &distantConn{Conn: c}, nil
}

// node returns the text of the server's node in the registry.
func (s *rpcServer) node() string {
	return fmt.Sprintf(`{"address":%q,"lifecycle":"Ready"}`, s.Addr())
}

// distantConn is a connection whose first bytes from the server take their time.
type distantConn struct {
	net.Conn
	begun bool // used by the server's writing goroutine only
}

// Write writes to the client.
func (c *distantConn) Write(p []byte) (int, error) {
	if !c.begun {
		c.begun = true
		time.Sleep(wayBetweenHalls)
	}
	return c.Conn.Write(p)
}
