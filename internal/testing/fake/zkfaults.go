package fake

import "time"

type zfaults struct {
	refuse  bool
	frozen  bool
	delay   time.Duration
	hold    int // so many requests must have come before the first of them is answered
	swallow int // so many transactions are done, and their connection is cut instead of an answer
}

// Refuse makes the service unreachable, or reachable again. Sessions go on ageing.
func (z *ZooKeeper) Refuse(on bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.faults.refuse = on
	if on {
		z.cut()
	}
}

// Freeze stops the service in the middle of everything: it reads nothing, answers nothing, expires nothing.
func (z *ZooKeeper) Freeze(on bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.faults.frozen = on
	z.thawed.Broadcast()
}

// Delay lets every answer take so long; answers to requests that came together come together.
func (z *ZooKeeper) Delay(d time.Duration) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.faults.delay = d
}

// Hold answers nothing until n requests, but for pings, have come on one connection.
func (z *ZooKeeper) Hold(n int) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.faults.hold = n
}

// Swallow does the next n transactions without an answer and cuts their connections.
func (z *ZooKeeper) Swallow(n int) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.faults.swallow = n
}
