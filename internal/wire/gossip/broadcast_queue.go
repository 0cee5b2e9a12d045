package gossip

import (
	"container/list"
	"math"
	"sync"
)

// broadcastQueue holds the messages that this relay gossips to its peers: the newest message of each name.
// Each message is sent transmitLimit times, which is enough for gossip to bring it to all relays.
//
// It replaces memberlist's TransmitLimitedQueue, which restarts its message numbers whenever it becomes
// empty: two messages of the same length may then get the same number, and one of them is lost.
// Its methods are safe for concurrent use.
type broadcastQueue struct {
	retransmitMult int        // see transmitLimit
	relayCount     func() int // number of relays, including this one

	mu     sync.Mutex
	byName map[string]*list.Element
	tiers  []*list.List // of *queuedBroadcast, indexed by sendCount; each list is in order of insertion
}

// queuedBroadcast is one message of a broadcastQueue.
type queuedBroadcast struct {
	name      string
	data      []byte
	sendCount int // number of transmissions so far; the index of its tier
}

func newBroadcastQueue(retransmitMult int, relayCount func() int) *broadcastQueue {
	return &broadcastQueue{
		retransmitMult: retransmitMult,
		relayCount:     relayCount,
		byName:         map[string]*list.Element{},
	}
}

// add queues a message. It replaces a queued message of the same name.
func (q *broadcastQueue) add(name string, data []byte) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if old := q.byName[name]; old != nil {
		q.remove(old)
	}
	q.push(&queuedBroadcast{name: name, data: data})
}

// take returns messages whose sizes plus an overhead for each add up to at most limit bytes, and counts each
// as transmitted once. Messages with fewer transmissions come first. A message that has reached transmitLimit
// is removed from the queue.
func (q *broadcastQueue) take(overhead, limit int) (messages [][]byte) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.byName) == 0 {
		return nil
	}
	var taken []*list.Element
	for _, tier := range q.tiers {
		for e := tier.Front(); e != nil && limit > overhead; e = e.Next() {
			data := e.Value.(*queuedBroadcast).data
			if overhead+len(data) > limit {
				continue
			}
			limit -= overhead + len(data)
			messages = append(messages, data)
			taken = append(taken, e)
		}
	}
	transmitLimit := q.transmitLimit()
	for _, e := range taken {
		b := e.Value.(*queuedBroadcast)
		q.remove(e)
		if b.sendCount++; b.sendCount < transmitLimit {
			q.push(b)
		}
	}
	return messages
}

// transmitLimit returns the number of times that a message is sent: retransmitMult times the logarithm to
// base 10 of the number of relays plus 1, rounded up. Each peer forwards a message the same number of times.
func (q *broadcastQueue) transmitLimit() int {
	return q.retransmitMult * int(math.Ceil(math.Log10(float64(q.relayCount()+1))))
}

// push appends a message to its tier. The caller holds the lock.
func (q *broadcastQueue) push(b *queuedBroadcast) {
	for len(q.tiers) <= b.sendCount {
		q.tiers = append(q.tiers, list.New())
	}
	q.byName[b.name] = q.tiers[b.sendCount].PushBack(b)
}

// remove deletes a message from the queue. The caller holds the lock.
func (q *broadcastQueue) remove(e *list.Element) {
	b := e.Value.(*queuedBroadcast)
	q.tiers[b.sendCount].Remove(e)
	delete(q.byName, b.name)
}
