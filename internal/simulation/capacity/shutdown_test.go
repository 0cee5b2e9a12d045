package capacity

import (
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// What it costs a relay to send its clients away at SIGTERM: each is told to move, and the relay has so much time for all.
func TestCostOfGracefulShutdown(t *testing.T) {
	sizes := []int{50, 200}
	if longRun() {
		sizes = []int{1000, 2000, 4000}
	}
	for _, n := range sizes {
		r := startRelay(t, startDiscovery(t, servers, servers))
		all := openClients(t, r.address, nil, n)
		var moved atomic.Int64
		var wait sync.WaitGroup
		before := r.processorTime()
		began := time.Now()
		var first, last atomic.Int64
		for _, v := range all {
			wait.Go(func() {
				defer v.Close()
				v.SetDeadline(time.Now().Add(echoTimeout))
				line, _ := v.in.ReadString('\n')
				at := time.Since(began).Nanoseconds()
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
		wait.Wait()
		<-r.ended
		if err := r.cmd.Wait(); err != nil {
			t.Errorf("%d connections: %v", n, err)
		}
		spent := r.cmd.ProcessState.SystemTime() + r.cmd.ProcessState.UserTime() - before
		t.Logf("%d connections: %d moved, from %v to %v, %v to the end; %v of processor time each", n, moved.Load(), time.Duration(first.Load()), time.Duration(last.Load()),
			time.Since(began), spent/time.Duration(n))
		if int(moved.Load()) != n {
			t.Errorf("%d of %d were told to move", moved.Load(), n)
		}
	}
}
