package fake

import "time"

type zkFaults struct {
	unreachable bool
	frozen      bool
	delay       time.Duration // delay of each answer
	holdAnswers int           // number of requests that must arrive before the first is answered
	dropAnswers int           // number of transactions still to be executed without an answer
	replicaLag  int64         // number of newest changes that this replica has not received
}

// SetUnreachable makes the service unreachable, or reachable again. Sessions continue to time out.
func (z *ZooKeeper) SetUnreachable(on bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.faults.unreachable = on
	if on {
		z.resetConnections()
	}
}

// SetFrozen suspends the service: it reads no request, sends no answer and expires no session.
func (z *ZooKeeper) SetFrozen(on bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.faults.frozen = on
	z.unfrozen.Broadcast()
}

// DelayAnswers delays every answer by d. Requests that arrive together are answered together.
func (z *ZooKeeper) DelayAnswers(d time.Duration) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.faults.delay = d
}

// HoldAnswers delays all answers until n requests, not counting pings, have arrived on one connection.
func (z *ZooKeeper) HoldAnswers(n int) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.faults.holdAnswers = n
}

// DropAnswers executes the next n transactions, and closes their connections instead of answering.
func (z *ZooKeeper) DropAnswers(n int) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.faults.dropAnswers = n
}

// SetReplicaLag makes the service a replica that has not received the newest changes. As ZooKeeper does, it
// refuses clients that have seen any of them; its answers still reflect all changes.
func (z *ZooKeeper) SetReplicaLag(changes int64) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.faults.replicaLag = changes
}
