package gossip

import (
	"container/list"
	"math"
	"sync"
)

// broadcastQueue holds what is gossiped to this relay's peers: the newest message of each name, sent to so
// many of them that all hear it. It takes the place of memberlist's TransmitLimitedQueue, which numbers its
// messages anew whenever it runs empty: two of one length may get one number, and then one of them is lost.
// Its methods may be called by several goroutines.
type broadcastQueue struct {
	retransmitMult int        // see transmitLimit
	relayCount     func() int // relays there are, this one too

	mu     sync.Mutex
	byName map[string]*list.Element
	tiers  []*list.List // of *queuedBroadcast: by how often it was sent, the oldest first
}

// queuedBroadcast is one message of a broadcastQueue.
type queuedBroadcast struct {
	name string
	text []byte
	sent int // how often, which is its tier
}

func newBroadcastQueue(retransmitMult int, relayCount func() int) *broadcastQueue {
	return &broadcastQueue{
		retransmitMult: retransmitMult,
		relayCount:     relayCount,
		byName:         map[string]*list.Element{},
	}
}

// add queues a message. An older one of the same name is not sent any more.
func (q *broadcastQueue) add(name string, text []byte) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if old := q.byName[name]; old != nil {
		q.remove(old)
	}
	q.push(&queuedBroadcast{name: name, text: text})
}

// take returns messages of limit bytes together at most, each with an overhead, and counts them as sent to
// one peer. What was sent least often comes first.
func (q *broadcastQueue) take(overhead, limit int) (texts [][]byte) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.byName) == 0 {
		return nil
	}
	var taken []*list.Element
	for _, tier := range q.tiers {
		for e := tier.Front(); e != nil && limit > overhead; e = e.Next() {
			text := e.Value.(*queuedBroadcast).text
			if overhead+len(text) > limit {
				continue
			}
			limit -= overhead + len(text)
			texts = append(texts, text)
			taken = append(taken, e)
		}
	}
	transmitLimit := q.transmitLimit()
	for _, e := range taken {
		b := e.Value.(*queuedBroadcast)
		q.remove(e)
		if b.sent++; b.sent < transmitLimit {
			q.push(b)
		}
	}
	return texts
}

// transmitLimit is how often a message is sent: retransmitMult times the relays' number of digits, as each
// peer passes it on as often.
func (q *broadcastQueue) transmitLimit() int {
	return q.retransmitMult * int(math.Ceil(math.Log10(float64(q.relayCount()+1))))
}

// push puts a message last in its tier. The caller holds the lock.
func (q *broadcastQueue) push(b *queuedBroadcast) {
	for len(q.tiers) <= b.sent {
		q.tiers = append(q.tiers, list.New())
	}
	q.byName[b.name] = q.tiers[b.sent].PushBack(b)
}

// remove takes a message out. The caller holds the lock.
func (q *broadcastQueue) remove(e *list.Element) {
	b := e.Value.(*queuedBroadcast)
	q.tiers[b.sent].Remove(e)
	delete(q.byName, b.name)
}
