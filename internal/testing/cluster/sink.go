package cluster

import (
	"fmt"
	"sync"

	"capersail/internal/testing/fake"
)

// RecordingServer is a server that notes when each connection's first line came to it.
type RecordingServer struct {
	ID string
	*fake.EchoServer
	mu          sync.Mutex
	connectedAt []float64
	probedAt    []float64
}

// NewRecordingServer starts a server that takes all that comes.
func NewRecordingServer(id string) (*RecordingServer, error) {
	s, err := fake.NewEchoServer("127.0.0.1:0", "UP")
	if err != nil {
		return nil, err
	}
	k := &RecordingServer{ID: id, EchoServer: s}
	go func() {
		for range s.FirstLines {
			k.mu.Lock()
			k.connectedAt = append(k.connectedAt, Now())
			k.mu.Unlock()
		}
	}()
	return k, nil
}

// ReportPerConnection has the sink report what its connections make of it, each adding a part of its capacity, and note its probes.
func (k *RecordingServer) ReportPerConnection(adds float64) {
	k.ReportFrom(func() string {
		k.mu.Lock()
		k.probedAt = append(k.probedAt, Now())
		k.mu.Unlock()
		return fmt.Sprintf("x0=%.4f", adds*float64(k.OpenConnections()))
	})
}

// ProbeCount is how many probes came between two moments.
func (k *RecordingServer) ProbeCount(from, to float64) int {
	return len(k.between(&k.probedAt, from, to))
}

// ConnectedAt are the times at which connections came between two moments.
func (k *RecordingServer) ConnectedAt(from, to float64) []float64 {
	return k.between(&k.connectedAt, from, to)
}

func (k *RecordingServer) between(times *[]float64, from, to float64) (all []float64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, at := range *times {
		if at >= from && at < to {
			all = append(all, at)
		}
	}
	return all
}
