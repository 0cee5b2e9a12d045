package fake

import "time"

// A server is overloaded while it holds more than OverloadFactor times the connections that it has capacity
// for, and fails if that lasts for OverloadWindow. The values are those of the protocol page.
const (
	OverloadFactor = 4.0
	OverloadWindow = 1500 * time.Millisecond
)

// measureLoad returns the number of served connections divided by the current capacity, so that 1 is a full
// server, and records the peak. The caller holds the lock.
func (s *ScanServer) measureLoad() float64 {
	if s.Capacity == 0 {
		return s.Load
	}
	capacity := 1.0
	if age := time.Since(s.StartedAt); age < s.SlowStartWindow {
		capacity = s.SlowStartCapacity + (1-s.SlowStartCapacity)*float64(age)/float64(s.SlowStartWindow)
	}
	served := 0.0
	for _, serves := range s.connections {
		if serves {
			served++
		}
	}
	load := served / (s.Capacity * capacity)
	s.peakLoad = max(s.peakLoad, load)
	switch {
	case load <= OverloadFactor:
		s.overloadedAt = time.Time{}
	case s.overloadedAt.IsZero():
		s.overloadedAt = time.Now()
	default:
		s.longestOverload = max(s.longestOverload, time.Since(s.overloadedAt))
	}
	return load
}

// PeakLoad returns the highest load so far, and the longest period over OverloadFactor.
func (s *ScanServer) PeakLoad() (peak float64, overloaded time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.measureLoad()
	return s.peakLoad, s.longestOverload
}
