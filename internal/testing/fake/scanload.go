package fake

import "time"

// The rule on cold servers, in its figures for this project.
const (
	FallMultiple = 4.0
	FallFor      = 1500 * time.Millisecond
)

// load is what is asked of the server over what it can do now. The caller holds the lock.
func (s *ScanServer) load() float64 {
	if s.Capacity == 0 {
		return s.Load
	}
	able := 1.0
	if age := time.Since(s.Started); age < s.Warm {
		able = s.StartPart + (1-s.StartPart)*float64(age)/float64(s.Warm)
	}
	n := 0.0
	for _, serves := range s.conns {
		if serves {
			n++
		}
	}
	x := n / (s.Capacity * able)
	s.peak = max(s.peak, x)
	if x <= FallMultiple {
		s.overAt = time.Time{}
	} else if s.overAt.IsZero() {
		s.overAt = time.Now()
	} else {
		s.longest = max(s.longest, time.Since(s.overAt))
	}
	return x
}

// Strain is the highest load so far, and the longest time over FallMultiple.
func (s *ScanServer) Strain() (peak float64, over time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.load()
	return s.peak, s.longest
}
