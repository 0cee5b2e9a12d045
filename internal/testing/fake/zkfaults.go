package fake

import "time"

type zkFaults struct {
	unreachable bool
	frozen      bool
	delay       time.Duration // before each answer
	holdAnswers int           // how many requests must have come before the first of them is answered
	dropAnswers int           // how many transactions are yet to be done without an answer
	replicaLag  int64         // how many of the newest changes it has not heard of
}

// SetUnreachable makes the service unreachable, or reachable again. Sessions go on ageing.
func (z *ZooKeeper) SetUnreachable(on bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.faults.unreachable = on
	if on {
		z.resetConnections()
	}
}

// SetFrozen stops the service in the middle of everything: it reads nothing, answers nothing, expires
// nothing.
func (z *ZooKeeper) SetFrozen(on bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.faults.frozen = on
	z.unfrozen.Broadcast()
}

// DelayAnswers delays every answer by d. Answers to requests that came together come together.
func (z *ZooKeeper) DelayAnswers(d time.Duration) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.faults.delay = d
}

// HoldAnswers answers nothing until n requests, but for pings, have come on one connection.
func (z *ZooKeeper) HoldAnswers(n int) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.faults.holdAnswers = n
}

// DropAnswers does the next n transactions and ends their connections in place of an answer.
func (z *ZooKeeper) DropAnswers(n int) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.faults.dropAnswers = n
}

// SetReplicaLag makes the service a replica that has not heard of the newest changes: it refuses clients that have
// seen any of them, as ZooKeeper does. It answers by all that it holds nevertheless.
func (z *ZooKeeper) SetReplicaLag(changes int64) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.faults.replicaLag = changes
}
