package fake

import (
	"fmt"
	"time"
)

// Kill stops the server at once and resets its connections, as the death of a process does. It may be called
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

// SetSilent makes the server stop reading and answering while its connections stay open, or ends that state.
func (s *ScanServer) SetSilent(on bool) {
	s.mu.Lock()
	s.silent = on
	s.mu.Unlock()
	s.resumed.Broadcast()
}

// ServerFaults describes how a server misbehaves. The zero value means no fault.
type ServerFaults struct {
	ProbeDelay   time.Duration // delay of probe answers, which carry the load at the time the fault was set
	FreezeReport bool          // load reports do not change after the fault was set
	AnswerError  bool          // first lines and probes are answered with ERR
	UpDelay      time.Duration // delay of answers to first lines
	ExtraLoad    float64       // added to the load in load reports

	frozenLoad string
}

// SetFaults replaces the server's faults.
func (s *ScanServer) SetFaults(faults ServerFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	faults.frozenLoad = fmt.Sprintf("%.3f", s.measureLoad()+faults.ExtraLoad)
	s.faults = faults
}

// SetRejecting makes the server answer every first line with BUSY, as a draining server does, or ends that
// state.
func (s *ScanServer) SetRejecting(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejecting = on
}

// MigrateOneIn ends one in n served connections with MOVE, and returns how many are left.
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

// FirstLineCount returns how many first lines the server has received, not counting probes.
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

// waitWhileSilent blocks while the server is silent.
func (s *ScanServer) waitWhileSilent() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.silent {
		s.resumed.Wait()
	}
}
