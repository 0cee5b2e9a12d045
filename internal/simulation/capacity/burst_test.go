package capacity

import (
	"slices"
	"sync"
	"testing"
	"time"
)

// How long a line takes to all listeners of a relay when their servers say it at once: the last hop of a topic's fan-out, as far as
// it can be had from what is built. Each listener has its own connection to a server, so the relay reads each line as well.
func TestBurstOfDeliveries(t *testing.T) {
	sizes, bursts := []int{100}, 3
	if longRun() {
		sizes, bursts = []int{273, 546, 1091, 2182}, 20
	}
	for _, n := range sizes {
		discovery, all := startServers(t, servers, servers)
		r := startRelay(t, discovery)
		viewers := openClients(t, r.address, nil, n)
		var took, last []time.Duration
		before := r.processorTime()
		for range bursts {
			each := burst(t, all, viewers)
			took = append(took, each...)
			last = append(last, slices.Max(each))
			time.Sleep(100 * time.Millisecond)
		}
		spent := (r.processorTime() - before) / time.Duration(n*bursts)
		slices.Sort(took)
		slices.Sort(last)
		t.Logf("%d listeners, %d bursts: a line after p50 %v, p99 %v; the last of all after p50 %v, at most %v; %v of processor time a line, rest between bursts included",
			n, bursts, quantile(took, 0.5), quantile(took, 0.99), quantile(last, 0.5), last[len(last)-1], spent)
		closeClients(viewers)
	}
}

// burst has all servers say a line to all at once, and returns how long it took to each.
func burst(t *testing.T, all []*echoServer, viewers []*client) []time.Duration {
	t.Helper()
	took := make([]time.Duration, len(viewers))
	var wait sync.WaitGroup
	began := time.Now()
	for i, v := range viewers {
		wait.Go(func() {
			v.SetDeadline(began.Add(echoTimeout))
			if _, err := v.in.ReadSlice('\n'); err != nil {
				t.Error(err)
			}
			took[i] = time.Since(began)
		})
	}
	for _, s := range all {
		wait.Go(func() {
			if err := s.broadcast([]byte("M 0123456789abcdef0123456789abcdef\r\n")); err != nil {
				t.Error(err)
			}
		})
	}
	wait.Wait()
	if t.Failed() {
		t.FailNow()
	}
	return took
}
