package capacity

import (
	"slices"
	"sync"
	"testing"
	"time"
)

// Measures how long a line takes to all clients of a relay when their servers send it at once. This is the
// last hop of a topic's fan-out, as far as it is built. Each client has its own connection to a server, so
// the relay also reads each line.
func TestBurstOfDeliveries(t *testing.T) {
	sizes, bursts := []int{100}, 3
	if isLongRun() {
		sizes, bursts = []int{273, 546, 1091, 2182}, 20
	}
	for _, n := range sizes {
		discovery, running := startServers(t, serverCount, serverCount)
		r := startRelay(t, discovery)
		clients := openClients(t, r.address, nil, n)
		var took, last []time.Duration
		before := r.processorTime()
		for range bursts {
			each := sendBurst(t, running, clients)
			took = append(took, each...)
			last = append(last, slices.Max(each))
			time.Sleep(100 * time.Millisecond)
		}
		spent := (r.processorTime() - before) / time.Duration(n*bursts)
		slices.Sort(took)
		slices.Sort(last)
		t.Logf("%d clients, %d bursts: a line after p50 %v, p99 %v; the last of all after p50 %v, at most %v; "+
			"%v of processor time a line, rest between bursts included",
			n, bursts, quantile(took, 0.5), quantile(took, 0.99), quantile(last, 0.5), last[len(last)-1], spent)
		closeClients(clients)
	}
}

// sendBurst has all servers send a line to all clients at once, and returns how long it took to reach each
// client.
func sendBurst(t *testing.T, running []*echoServer, clients []*client) []time.Duration {
	t.Helper()
	took := make([]time.Duration, len(clients))
	var ends sync.WaitGroup
	began := time.Now()
	for i, c := range clients {
		ends.Go(func() {
			c.SetDeadline(began.Add(echoTimeout))
			if _, err := c.in.ReadSlice('\n'); err != nil {
				t.Error(err)
			}
			took[i] = time.Since(began)
		})
	}
	for _, s := range running {
		ends.Go(func() {
			if err := s.broadcast([]byte("M 0123456789abcdef0123456789abcdef\r\n")); err != nil {
				t.Error(err)
			}
		})
	}
	ends.Wait()
	if t.Failed() {
		t.FailNow()
	}
	return took
}
