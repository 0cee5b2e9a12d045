package fake

import (
	"fmt"
	"time"
)

// Kill ends the server at once and resets its connections, as a process that dies does. It may be called
// again.
func (s *ScanServer) Kill() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.connections {
		c.SetLinger(0)
		c.Close()
	}
	s.silent = false
	s.killed = true
	s.resumed.Broadcast()
}

// SetSilent makes the server read and answer nothing, with all connections open, or ends that.
func (s *ScanServer) SetSilent(on bool) {
	s.mu.Lock()
	s.silent = on
	s.mu.Unlock()
	s.resumed.Broadcast()
}

// ServerFaults are ways in which a server misbehaves. The zero value is none.
type ServerFaults struct {
	ProbeDelay   time.Duration // before each answer to a probe, which has the load of when the fault was set
	FreezeReport bool          // load reports stay as they were when the fault was set
	AnswerError  bool          // first lines and probes are answered with ERR
	UpDelay      time.Duration // before each answer to a first line
	ExtraLoad    float64       // added to the load in reports

	frozenLoad string
}

// SetFaults replaces the server's faults.
func (s *ScanServer) SetFaults(faults ServerFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	faults.frozenLoad = fmt.Sprintf("%.3f", s.measureLoad()+faults.ExtraLoad)
	s.faults = faults
}

// SetRejecting makes the server answer BUSY to every first line, as a draining server does, or ends that.
func (s *ScanServer) SetRejecting(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejecting = on
}

// MigrateOneIn ends one served connection in n with MOVE, and returns how many are left.
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

// FirstLineCount returns how many first lines came, probes not counted.
func (s *ScanServer) FirstLineCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.firstLineCount
}

// isKilled reports whether Kill was called.
func (s *ScanServer) isKilled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.killed
}

// waitWhileSilent blocks until the server is not silent.
func (s *ScanServer) waitWhileSilent() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.silent {
		s.resumed.Wait()
	}
}
