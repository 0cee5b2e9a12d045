package fake

import "time"

// The rule on cold servers, in its figures for this project.
const (
	OverloadFactor = 4.0
	OverloadWindow = 1500 * time.Millisecond
)

// measureLoad is what is asked of the server over what it can do now. The caller holds the lock.
func (s *ScanServer) measureLoad() float64 {
	if s.Capacity == 0 {
		return s.Load
	}
	able := 1.0
	if age := time.Since(s.StartedAt); age < s.SlowStartWindow {
		able = s.SlowStartCapacity + (1-s.SlowStartCapacity)*float64(age)/float64(s.SlowStartWindow)
	}
	n := 0.0
	for _, serves := range s.connections {
		if serves {
			n++
		}
	}
	x := n / (s.Capacity * able)
	s.peakLoad = max(s.peakLoad, x)
	if x <= OverloadFactor {
		s.overloadedAt = time.Time{}
	} else if s.overloadedAt.IsZero() {
		s.overloadedAt = time.Now()
	} else {
		s.longestOverload = max(s.longestOverload, time.Since(s.overloadedAt))
	}
	return x
}

// PeakLoad is the highest load so far, and the longest time over FallMultiple.
func (s *ScanServer) PeakLoad() (peak float64, over time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.measureLoad()
	return s.peakLoad, s.longestOverload
}
