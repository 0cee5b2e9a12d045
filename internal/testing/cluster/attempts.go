package cluster

import (
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// connState is what the kernel knows of a connection whose bytes may not have been read yet.
type connState struct {
	receivedAt time.Duration // when its newest bytes came, as Now has it
	peerEnded  bool          // the other side has closed or reset it
}

// kernelState returns a connection's state; that of one that is closed here is the zero connState, ended.
func kernelState(conn net.Conn) connState {
	const established = 1
	state := connState{receivedAt: Now(), peerEnded: true}
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return state
	}
	raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return
		}
		state.receivedAt -= time.Duration(info.Last_data_recv) * time.Millisecond
		state.peerEnded = info.State != established
	})
	return state
}

// attemptLog is the attempts of each request at all servers that share it.
type attemptLog struct {
	mu       sync.Mutex
	attempts map[string][]loggedAttempt // by the request's ID
}

type loggedAttempt struct {
	conn    net.Conn
	arrival *Arrival
}

// add records an attempt that has come now. The earlier ones of its request that the relay has ended by now
// end here, at the latest: their servers may be late to read that.
func (l *attemptLog) add(a *Arrival, conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, earlier := range l.attempts[a.ID] {
		if !earlier.arrival.endedBeforeNext && kernelState(earlier.conn).peerEnded {
			earlier.arrival.endedBeforeNext = true
		}
	}
	l.attempts[a.ID] = append(l.attempts[a.ID], loggedAttempt{conn, a})
}
