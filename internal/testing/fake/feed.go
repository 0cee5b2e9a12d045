package fake

import (
	"sync"
	"time"
)

// Feed is the source of all servers' scans, which are numbered from 1. The newest Keep are available.
type Feed struct {
	Keep uint64

	mu      sync.Mutex
	newest  uint64
	changed *sync.Cond // on mu: newest has grown, or a stream has ended
}

// NewFeed returns a feed that makes a scan each period, in a goroutine that ends once stop is closed.
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

// await blocks until scan n has been made and returns true, or false once it finds over closed, which it
// looks for whenever it is woken: at the latest with the next scan.
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
