package cluster

import (
	"fmt"
	"sync"

	"capersail/internal/testing/fake"
)

// Sink is a server that notes when each connection's first line came to it.
type Sink struct {
	ID string
	*fake.EchoServer
	mu     sync.Mutex
	came   []float64
	probed []float64
}

// NewSink starts a server that takes all that comes.
func NewSink(id string) (*Sink, error) {
	s, err := fake.NewEchoServer("127.0.0.1:0", "UP")
	if err != nil {
		return nil, err
	}
	k := &Sink{ID: id, EchoServer: s}
	go func() {
		for range s.FirstLines {
			k.mu.Lock()
			k.came = append(k.came, Now())
			k.mu.Unlock()
		}
	}()
	return k, nil
}

// Weigh has the sink report what its connections make of it, each adding a part of its capacity, and note its probes.
func (k *Sink) Weigh(adds float64) {
	k.ReportFrom(func() string {
		k.mu.Lock()
		k.probed = append(k.probed, Now())
		k.mu.Unlock()
		return fmt.Sprintf("x0=%.4f", adds*float64(k.OpenConnections()))
	})
}

// Probed is how many probes came between two moments.
func (k *Sink) Probed(from, to float64) int { return len(k.between(&k.probed, from, to)) }

// Came are the times at which connections came between two moments.
func (k *Sink) Came(from, to float64) []float64 { return k.between(&k.came, from, to) }

func (k *Sink) between(times *[]float64, from, to float64) (all []float64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, at := range *times {
		if at >= from && at < to {
			all = append(all, at)
		}
	}
	return all
}
