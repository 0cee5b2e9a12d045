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

// LoadTally is what became of a Load's connections.
type LoadTally struct {
	Up, Busy, Other, Unreachable atomic.Int64

	mu         sync.Mutex
	rejectedAt []float64 // when
}

// Rejected is how many were told BUSY between two moments.
func (t *LoadTally) Rejected(from, to float64) (n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, at := range t.rejectedAt {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

// Load brings so many connections a second, spread over the relays by their weights, until the context ends; each that
// comes up is held for a while. It sends to loopback only, where all relays of a ground are.
func (fleet *Cluster) Load(ctx context.Context, seed uint64, rate float64, hold time.Duration, tally *LoadTally) {
	rng := rand.New(rand.NewPCG(seed, 0x6c6f6164))
	var all sync.WaitGroup
	defer all.Wait()
	next := time.Now()
	for n := 0; ; n++ {
		next = next.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
		}
		sum := int64(0)
		for _, r := range fleet.Relays {
			sum += r.weight.Load()
		}
		if sum == 0 {
			continue
		}
		at, to := rng.Int64N(sum), ""
		for _, r := range fleet.Relays {
			if at -= r.weight.Load(); at < 0 {
				to = r.Listen
				break
			}
		}
		key := rng.Uint64()
		if to != "" { // a weight has just been changed
			all.Go(func() { sendRequest(ctx, to, n, key, hold, tally) })
		}
	}
}

func sendRequest(ctx context.Context, to string, n int, key uint64, hold time.Duration, tally *LoadTally) {
	conn, err := net.DialTimeout("tcp", to, time.Second)
	if err != nil {
		tally.Unreachable.Add(1)
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	conn.SetDeadline(time.Now().Add(3*time.Second + hold))
	fmt.Fprintf(conn, "OPEN l%d %x c=map-stream,t=acme,d=2000\r\n", n, key)
	line, _ := bufio.NewReader(conn).ReadString('\n')
	switch word, _, _ := strings.Cut(strings.TrimSpace(line), " "); word {
	case "UP":
		tally.Up.Add(1)
		select {
		case <-ctx.Done():
		case <-time.After(hold):
		}
	case "BUSY":
		tally.Busy.Add(1)
		tally.mu.Lock()
		tally.rejectedAt = append(tally.rejectedAt, Now())
		tally.mu.Unlock()
	default:
		tally.Other.Add(1)
	}
}
