package fake

import (
	"fmt"
	"time"
)

// Kill ends the server at once and resets its connections.
func (s *ScanServer) Kill() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.connections {
		c.SetLinger(0)
		c.Close()
	}
	s.silent, s.killed = false, true
	s.resumed.Broadcast()
}

// SetSilent makes it say and read nothing, with all connections open; or ends that.
func (s *ScanServer) SetSilent(on bool) {
	s.mu.Lock()
	s.silent = on
	s.mu.Unlock()
	s.resumed.Broadcast()
}

// ServerFaults are ways in which a server misbehaves.
type ServerFaults struct {
	ProbeDelay   time.Duration // answers probes so late, with the numbers of when it was turned
	FreezeReport bool          // its report stays as it is
	AnswerError  bool          // answers first lines and probes with ERR
	UpDelay      time.Duration // takes so long to say UP
	ExtraLoad    float64       // load on top of what it holds
	frozenLoad   string
}

// SetFaults sets the knobs.
func (s *ScanServer) SetFaults(k ServerFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k.frozenLoad = fmt.Sprintf("%.3f", s.measureLoad()+k.ExtraLoad)
	s.faults = k
}

// SetRejecting makes it answer BUSY to whoever comes, as a draining server does.
func (s *ScanServer) SetRejecting(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejecting = on
}

// MigrateOneIn ends one connection in n with MOVE, and returns how many are left.
func (s *ScanServer) MigrateOneIn(n int) (left int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := 0
	for c, serves := range s.connections {
		if !serves {
			continue
		}
		if seen++; seen%n == 1 {
			fmt.Fprint(c, "MOVE\r\n")
			c.CloseWrite()
			delete(s.connections, c)
		} else {
			left++
		}
	}
	return left
}

// Openings is how many first lines came, but for probes.
func (s *ScanServer) Openings() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.openings
}

// isKilled tells whether the server was killed.
func (s *ScanServer) isKilled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.killed
}

// waitWhileSilent waits while the server is silent.
func (s *ScanServer) waitWhileSilent() {
	s.mu.Lock()
	for s.silent {
		s.resumed.Wait()
	}
	s.mu.Unlock()
}
