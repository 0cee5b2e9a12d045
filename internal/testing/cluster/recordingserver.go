package cluster

import (
	"fmt"
	"math"
	"sync"
	"time"

	"capersail/internal/testing/fake"
)

// RecordingServer is a server that accepts every connection, and records when each came.
type RecordingServer struct {
	ID string
	*fake.EchoServer

	mu          sync.Mutex
	connectedAt []time.Duration
	probedAt    []time.Duration
	reported    []float64 // the loads of the reports, as probedAt
}

// NewRecordingServer starts a server on loopback that runs until Close.
func NewRecordingServer(id string) (*RecordingServer, error) {
	echo, err := fake.NewEchoServer("127.0.0.1:0", "UP")
	if err != nil {
		return nil, err
	}
	s := &RecordingServer{ID: id, EchoServer: echo}
	go s.recordConnections()
	return s, nil
}

// recordConnections runs for as long as the process does.
func (s *RecordingServer) recordConnections() {
	for range s.FirstLines {
		s.mu.Lock()
		s.connectedAt = append(s.connectedAt, Now())
		s.mu.Unlock()
	}
}

// ReportPerConnection makes the load report grow with the open connections, each of which adds a part of the
// server's capacity, and has probes recorded.
func (s *RecordingServer) ReportPerConnection(load float64) {
	s.SetReportFunc(func() string {
		reported := load * float64(s.OpenConnections())
		s.mu.Lock()
		s.probedAt = append(s.probedAt, Now())
		s.reported = append(s.reported, reported)
		s.mu.Unlock()
		return fmt.Sprintf("x0=%.4f", reported)
	})
}

// LowestReport returns the lowest load that the server has reported to a probe between two instants, +Inf if it
// was not probed.
func (s *RecordingServer) LowestReport(from, to time.Duration) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	lowest := math.Inf(1)
	for i, at := range s.probedAt {
		if at >= from && at < to {
			lowest = min(lowest, s.reported[i])
		}
	}
	return lowest
}

// ProbeCount returns how many probes came between two instants.
func (s *RecordingServer) ProbeCount(from, to time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(instantsBetween(s.probedAt, from, to))
}

// ConnectedAt returns when connections came, of those between two instants.
func (s *RecordingServer) ConnectedAt(from, to time.Duration) []time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return instantsBetween(s.connectedAt, from, to)
}

// instantsBetween returns the instants from one on and before another.
func instantsBetween(instants []time.Duration, from, to time.Duration) (all []time.Duration) {
	for _, at := range instants {
		if at >= from && at < to {
			all = append(all, at)
		}
	}
	return all
}
