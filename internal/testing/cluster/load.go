package cluster

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

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

// Tally is what became of a Load's connections.
type Tally struct {
	Up, Busy, Other, Unreached atomic.Int64

	mu      sync.Mutex
	refused []float64 // when
}

// Refused is how many were told BUSY between two moments.
func (t *Tally) Refused(from, to float64) (n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, at := range t.refused {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

// Load brings so many connections a second, spread over the relays by their weights, until the context ends; each that
// comes up is held for a while. It sends to loopback only, where all relays of a ground are.
func (g *Cluster) Load(ctx context.Context, seed uint64, rate float64, hold time.Duration, tally *Tally) {
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
		for _, r := range g.Relays {
			sum += r.weight.Load()
		}
		if sum == 0 {
			continue
		}
		at, to := rng.Int64N(sum), ""
		for _, r := range g.Relays {
			if at -= r.weight.Load(); at < 0 {
				to = r.Listen
				break
			}
		}
		key := rng.Uint64()
		if to != "" { // a weight has just been changed
			all.Go(func() { once(ctx, to, n, key, hold, tally) })
		}
	}
}

func once(ctx context.Context, to string, n int, key uint64, hold time.Duration, tally *Tally) {
	conn, err := net.DialTimeout("tcp", to, time.Second)
	if err != nil {
		tally.Unreached.Add(1)
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
		tally.refused = append(tally.refused, Now())
		tally.mu.Unlock()
	default:
		tally.Other.Add(1)
	}
}

// Budget is what all relays together may send to a cold server, as rule 4 has it: in any time, a multiple of what
// fills it over its warm-up, at the capacity that it has by then.
type Budget struct {
	Start    float64 // part of its capacity that it starts with
	ColdMs   float64
	Multiple float64
	Adds     float64 // what a connection adds to its load
}

// Allowed is how many connections may come within the first ms of a cold server.
func (b Budget) Allowed(ms float64) float64 {
	t := min(ms, b.ColdMs)
	warmth := b.Start*t + (1-b.Start)*t*t/(2*b.ColdMs) // its integral
	return b.Multiple * warmth / (b.Adds * b.ColdMs)
}

// Spent is the greatest part of the allowance that was used up at any moment of a cold server's warm-up, once so
// many connections may have come that one more or less says little.
func (b Budget) Spent(came []float64, began float64) (most float64) {
	slices.Sort(came)
	for i, at := range came {
		if may := b.Allowed(at - began); may >= 50 {
			most = max(most, float64(i+1)/may)
		}
	}
	return most
}
