package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// tileServer is a sound tile server: it answers probes, brings connections up, returns each line at once, and
// turns new connections away while it drains.
type tileServer struct {
	id, address string
	listener    net.Listener

	mu       sync.Mutex
	draining bool
	opened   []arrival
	conns    map[net.Conn]bool
	up       int
}

// arrival is a first line that a tile server got.
type arrival struct {
	at       time.Time // of its first byte
	id       string
	answered string
}

func startTileServer(id string) (*tileServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &tileServer{id: id, address: l.Addr().String(), listener: l, conns: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s, nil
}

func (s *tileServer) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// arrivals returns the first lines so far.
func (s *tileServer) arrivals() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival(nil), s.opened...)
}

func (s *tileServer) report() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("x0=%.3f,qps=%d,queue=0", float64(s.up)/100, s.up)
}

func (s *tileServer) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for up := false; ; {
		if _, err := in.Peek(1); err != nil {
			return
		}
		at := time.Now()
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		switch text := strings.TrimRight(line, "\r\n"); {
		case up:
			fmt.Fprint(c, line)
		case text == "PING":
			fmt.Fprint(c, "PONG\r\n")
		case text == "STATS":
			fmt.Fprintf(c, "PONG %s\r\n", s.report())
		case !strings.HasPrefix(text, "OPEN "):
			fmt.Fprint(c, "SYNTAX\r\n")
			return
		default:
			id := strings.Fields(text)[1]
			if !s.admit(at, id) {
				fmt.Fprint(c, "BUSY\r\n")
				return
			}
			fmt.Fprintf(c, "UP %s-%s\r\n", s.id, id)
			up = true
			defer s.ended()
		}
	}
}

// admit records a first line and reports whether it is brought up.
func (s *tileServer) admit(at time.Time, id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := "UP"
	if s.draining {
		answer = "BUSY"
	} else {
		s.up++
	}
	s.opened = append(s.opened, arrival{at, id, answer})
	return !s.draining
}

func (s *tileServer) ended() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.up--
}
