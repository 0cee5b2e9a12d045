package fake

import (
	"fmt"
	"time"
)

// Kill ends the server at once and resets its connections.
func (s *ScanServer) Kill() {
	s.l.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.SetLinger(0)
		c.Close()
	}
	s.silent, s.killed = false, true
	s.thaw.Broadcast()
}

// Silence makes it say and read nothing, with all connections open; or ends that.
func (s *ScanServer) Silence(on bool) {
	s.mu.Lock()
	s.silent = on
	s.mu.Unlock()
	s.thaw.Broadcast()
}

// Knobs are ways in which a server misbehaves.
type Knobs struct {
	ProbeDelay time.Duration // answers probes so late, with the numbers of when it was turned
	Frozen     bool          // its report stays as it is
	Erring     bool          // answers first lines and probes with ERR
	UpDelay    time.Duration // takes so long to say UP
	Extra      float64       // load on top of what it holds
	told       string
}

// Turn sets the knobs.
func (s *ScanServer) Turn(k Knobs) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k.told = fmt.Sprintf("%.3f", s.load()+k.Extra)
	s.knobs = k
}

// Refuse makes it answer BUSY to whoever comes, as a draining server does.
func (s *ScanServer) Refuse(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = on
}

// SendAway ends one connection in n with MOVE, and returns how many are left.
func (s *ScanServer) SendAway(n int) (left int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := 0
	for c, serves := range s.conns {
		if !serves {
			continue
		}
		if seen++; seen%n == 1 {
			fmt.Fprint(c, "MOVE\r\n")
			c.CloseWrite()
			delete(s.conns, c)
		} else {
			left++
		}
	}
	return left
}

// Opened is how many first lines came, but for probes.
func (s *ScanServer) Opened() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.opened
}

// dead tells whether the server was killed.
func (s *ScanServer) dead() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.killed
}

// still waits while the server is silent.
func (s *ScanServer) still() {
	s.mu.Lock()
	for s.silent {
		s.thaw.Wait()
	}
	s.mu.Unlock()
}
