package fake

import (
	"fmt"
	"net"
	"slices"
	"sync"

	"golang.org/x/sys/unix"
)

// StreamTracker records for all servers which server serves each stream in which generation, and every
// violation of the rules of ownership.
type StreamTracker struct {
	mu                sync.Mutex
	serving           map[string]*servingServer
	highestGeneration map[string]uint64
	servingCount      int
	violations        []string
}

// servingServer is a server that serves a stream.
type servingServer struct {
	server     string
	generation uint64
	conn       *net.TCPConn
}

// NewStreamTracker returns an empty tracker.
func NewStreamTracker() *StreamTracker {
	return &StreamTracker{serving: map[string]*servingServer{}, highestGeneration: map[string]uint64{}}
}

// beginServing records that a server begins to serve a stream. If the connection of another server for the
// stream is still established at this instant, two servers serve the stream, which is a violation. The
// kernel's state is used, because a goroutine may be late to read the end of its connection.
func (l *StreamTracker) beginServing(stream, server string, gen uint64, conn *net.TCPConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !isEstablished(conn) { // the relay ended it while the server was silent or dead, so nobody is served
		return
	}
	if o := l.serving[stream]; o != nil && isEstablished(o.conn) {
		l.violations = append(l.violations, fmt.Sprintf("stream %s: %s begins generation %d while %s serves %d",
			stream, server, gen, o.server, o.generation))
	}
	if gen <= l.highestGeneration[stream] {
		l.violations = append(l.violations, fmt.Sprintf("stream %s: generation %d after %d; want a higher one",
			stream, gen, l.highestGeneration[stream]))
	}
	l.highestGeneration[stream] = gen
	l.serving[stream] = &servingServer{server, gen, conn}
	l.servingCount++
}

// endServing records that a server has stopped serving a stream, unless another server has begun since.
func (l *StreamTracker) endServing(stream string, conn *net.TCPConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o := l.serving[stream]; o != nil && o.conn == conn {
		delete(l.serving, stream)
	}
}

// Violations lists each case in which two servers served a stream at once, or a generation did not increase.
func (l *StreamTracker) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.violations)
}

// Serving returns how many streams are being served now, and how often serving has begun in total.
func (l *StreamTracker) Serving() (now, all int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.serving), l.servingCount
}

// isEstablished reports whether the kernel considers a connection established, with neither side closed.
func isEstablished(c *net.TCPConn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		open = err == nil && info.State == 1
	})
	return open
}
