package fake

import (
	"fmt"
	"net"
	"sync"

	"golang.org/x/sys/unix"
)

// Ledger is what all servers together saw of each stream: who serves it, in which generation.
type Ledger struct {
	mu                sync.Mutex
	serving           map[string]*service
	highestGeneration map[string]uint64
	served            int
	violations        []string
}

type service struct {
	server     string
	generation uint64
	conn       *net.TCPConn
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{serving: map[string]*service{}, highestGeneration: map[string]uint64{}}
}

// beginService notes a service. If another server's connection for the stream still stands at this instant, two
// servers serve it. The kernel is asked, since a goroutine may be late to read what has come long ago.
func (l *Ledger) beginService(stream, server string, gen uint64, conn *net.TCPConn) {
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
		l.violations = append(l.violations, fmt.Sprintf("stream %s: generation %d after %d", stream, gen, l.highestGeneration[stream]))
	}
	l.highestGeneration[stream] = gen
	l.serving[stream] = &service{server, gen, conn}
	l.served++
}

func (l *Ledger) endService(stream string, conn *net.TCPConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o := l.serving[stream]; o != nil && o.conn == conn {
		delete(l.serving, stream)
	}
}

// Violations lists what must not have happened.
func (l *Ledger) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.violations...)
}

// Serving is how many streams are served now, and Served how many services there were.
func (l *Ledger) Serving() (now, all int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.serving), l.served
}

// isEstablished tells whether the peer of a connection has not ended it.
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
