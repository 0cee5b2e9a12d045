package network

import (
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
)

// slotDuration is the resolution of delays: all packets that are due within one slot arrive together, by one
// timer.
const slotDuration = time.Millisecond

// delivery is a packet in transit to an endpoint.
type delivery struct {
	to     *endpoint
	packet *memberlist.Packet
}

type slot struct {
	due []delivery
}

// delayQueue holds the packets in transit. It has a timer for each slot that holds any, and no goroutine.
type delayQueue struct {
	mu    sync.Mutex
	slots map[int64]*slot
}

// add queues a packet that is due after a delay.
func (d *delayQueue) add(now time.Time, delay time.Duration, packet delivery) {
	key := now.Add(delay+slotDuration-1).UnixNano() / int64(slotDuration)
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.slots[key]
	if s == nil {
		s = &slot{}
		d.slots[key] = s
		time.AfterFunc(time.Duration(key*int64(slotDuration)-now.UnixNano()), func() { d.deliver(key) })
	}
	s.due = append(s.due, packet)
}

// deliver passes all packets of a slot to their endpoints.
func (d *delayQueue) deliver(key int64) {
	d.mu.Lock()
	s := d.slots[key]
	delete(d.slots, key)
	d.mu.Unlock()
	now := time.Now()
	for _, x := range s.due {
		x.to.receive(now, x.packet)
	}
}
