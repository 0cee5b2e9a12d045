package capacity

import (
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// Measures the cost of a graceful shutdown of a relay, and checks that each client is migrated with MOVE.
func TestCostOfGracefulShutdown(t *testing.T) {
	sizes := []int{50, 200}
	if isLongRun() {
		sizes = []int{1000, 2000, 4000}
	}
	for _, n := range sizes {
		r := startRelay(t, startDiscovery(t, serverCount, serverCount))
		clients := openClients(t, r.address, nil, n)
		before := r.processorTime()
		startedAt := time.Now()
		var moved, first, last atomic.Int64
		var ends sync.WaitGroup
		for _, c := range clients {
			ends.Go(func() {
				defer c.Close()
				c.SetDeadline(time.Now().Add(echoTimeout))
				line, _ := c.in.ReadString('\n')
				at := time.Since(startedAt).Nanoseconds()
				first.CompareAndSwap(0, at)
				last.Store(at)
				if strings.TrimSpace(line) == "MOVE" {
					moved.Add(1)
				}
			})
		}
		if err := syscall.Kill(r.pid, syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		ends.Wait()
		<-r.ended
		if err := r.cmd.Wait(); err != nil {
			t.Errorf("the relay with %d connections ended with %v, want exit code 0", n, err)
		}
		spent := r.cmd.ProcessState.SystemTime() + r.cmd.ProcessState.UserTime() - before
		t.Logf("%d connections: %d moved, from %v to %v, %v to the end; %v of processor time each",
			n, moved.Load(), time.Duration(first.Load()), time.Duration(last.Load()),
			time.Since(startedAt), spent/time.Duration(n))
		if int(moved.Load()) != n {
			t.Errorf("%d of %d clients got MOVE, want all", moved.Load(), n)
		}
	}
}
