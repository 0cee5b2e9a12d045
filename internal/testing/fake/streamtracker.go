package fake

import (
	"fmt"
	"net"
	"slices"
	"sync"

	"golang.org/x/sys/unix"
)

// StreamTracker records, over all servers, who serves each stream in which generation, and which rule that broke.
type StreamTracker struct {
	mu                sync.Mutex
	serving           map[string]*servingServer
	highestGeneration map[string]uint64
	servingCount      int
	violations        []string
}

// service is one server that serves a stream.
type servingServer struct {
	server     string
	generation uint64
	conn       *net.TCPConn
}

// NewStreamTracker returns an empty ledger.
func NewStreamTracker() *StreamTracker {
	return &StreamTracker{serving: map[string]*servingServer{}, highestGeneration: map[string]uint64{}}
}

// beginService records a service. If another server's connection for the stream still stands at this instant,
// two servers serve it. The kernel is asked, since a goroutine may be late to read what has come long ago.
func (l *StreamTracker) beginServing(stream, server string, gen uint64, conn *net.TCPConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !isEstablished(conn) { // given up while the server was silent or dead: it serves nobody
		return
	}
	if o := l.serving[stream]; o != nil && isEstablished(o.conn) {
		l.violations = append(l.violations, fmt.Sprintf("stream %s: %s begins generation %d while %s serves %d",
			stream, server, gen, o.server, o.generation))
	}
	if gen <= l.highestGeneration[stream] {
		l.violations = append(l.violations, fmt.Sprintf("stream %s: generation %d after %d",
			stream, gen, l.highestGeneration[stream]))
	}
	l.highestGeneration[stream] = gen
	l.serving[stream] = &servingServer{server, gen, conn}
	l.servingCount++
}

// endService removes a service, unless another has begun since.
func (l *StreamTracker) endServing(stream string, conn *net.TCPConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o := l.serving[stream]; o != nil && o.conn == conn {
		delete(l.serving, stream)
	}
}

// Violations lists each time two servers served a stream at once, or a generation did not grow.
func (l *StreamTracker) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.violations)
}

// Serving returns how many streams are served now, and how many services have begun in all.
func (l *StreamTracker) Serving() (now, all int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.serving), l.servingCount
}

// isEstablished reports whether the kernel holds a connection to be established, ended by neither side.
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
