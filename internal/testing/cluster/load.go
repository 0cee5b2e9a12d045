package cluster

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// LoadStats counts what became of a Load's connections. It may be read while the load goes on.
type LoadStats struct {
	Accepted     atomic.Int64
	Rejected     atomic.Int64
	OtherAnswers atomic.Int64 // any other answer, or none
	DialFailures atomic.Int64 // connections that could not be established

	mu         sync.Mutex
	rejectedAt []time.Duration
}

// RejectedBetween returns how many requests were answered BUSY between two instants.
func (t *LoadStats) RejectedBetween(from, to time.Duration) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(instantsBetween(t.rejectedAt, from, to))
}

func (t *LoadStats) recordRejection() {
	t.Rejected.Add(1)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rejectedAt = append(t.rejectedAt, Now())
}

// Load opens rate connections a second, spread over the relays by their weights, until the context ends; each
// that is accepted stays open for the time hold. It returns once all are closed. It connects to loopback
// only, where all relays are.
func (fleet *Cluster) Load(
	ctx context.Context, seed uint64, rate float64, hold time.Duration, tally *LoadStats,
) {
	rng := rand.New(rand.NewPCG(seed, 0x6c6f6164))
	var requests sync.WaitGroup
	defer requests.Wait()
	next := time.Now()
	for n := 0; ; n++ {
		next = next.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
		}
		sum := fleet.weightSum()
		if sum == 0 {
			continue
		}
		address := fleet.addressAt(rng.Int64N(sum))
		key := rng.Uint64()
		if address != "" {
			requests.Go(func() { sendRequest(ctx, address, n, key, hold, tally) })
		}
	}
}

func (fleet *Cluster) weightSum() (sum int64) {
	for _, r := range fleet.Relays {
		sum += r.weight.Load()
	}
	return sum
}

// addressAt returns the address of the relay that a point of the weights' sum falls to, "" if a weight has
// been reduced since they were added up.
func (fleet *Cluster) addressAt(point int64) string {
	for _, r := range fleet.Relays {
		point -= r.weight.Load()
		if point < 0 {
			return r.Listen
		}
	}
	return ""
}

// sendRequest sends one request, and keeps its connection open for the time hold if it is accepted.
func sendRequest(
	ctx context.Context, address string, n int, key uint64, hold time.Duration, tally *LoadStats,
) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		tally.DialFailures.Add(1)
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	conn.SetDeadline(time.Now().Add(3*time.Second + hold))
	fmt.Fprintf(conn, "OPEN l%d %x c=map-stream,t=acme,d=2000\r\n", n, key)
	line, _ := bufio.NewReader(conn).ReadString('\n')
	switch word, _, _ := strings.Cut(strings.TrimSpace(line), " "); word {
	case "UP":
		tally.Accepted.Add(1)
		select {
		case <-ctx.Done():
		case <-time.After(hold):
		}
	case "BUSY":
		tally.recordRejection()
	default:
		tally.OtherAnswers.Add(1)
	}
}
