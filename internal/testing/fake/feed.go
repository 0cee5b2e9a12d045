package fake

import (
	"sync"
	"time"
)

// Feed is the source of the scans of all servers. Scans are numbered from 1, and the newest Keep of them are
// available.
type Feed struct {
	Keep uint64

	mu      sync.Mutex
	newest  uint64
	changed *sync.Cond // on mu: signals a new scan or the end of a stream
}

// NewFeed returns a feed that produces one scan per period, in a goroutine that ends when stop is closed.
func NewFeed(keep uint64, period time.Duration, stop <-chan struct{}) *Feed {
	f := &Feed{Keep: keep, newest: 1}
	f.changed = sync.NewCond(&f.mu)
	go f.run(period, stop)
	return f
}

func (f *Feed) run(period time.Duration, stop <-chan struct{}) {
	tick := time.NewTicker(period)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
			f.mu.Lock()
			f.newest++
			f.mu.Unlock()
			f.changed.Broadcast()
		}
	}
}

// waitForScan blocks until scan n exists and returns true, or returns false once over is closed. It checks
// over whenever it is woken, which happens at the next scan at the latest.
func (f *Feed) waitForScan(n uint64, over <-chan struct{}) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for n > f.newest {
		select {
		case <-over:
			return false
		default:
		}
		f.changed.Wait()
	}
	return true
}

// Newest returns the number of the newest scan.
func (f *Feed) Newest() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.newest
}
