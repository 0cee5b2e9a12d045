package relay

import (
	"container/heap"
	"time"

	"capersail/decide"
)

// timer is an instant at which the decision module wants to be woken, or the backstop checks a request.
type timer struct {
	dueAt    time.Duration
	sequence uint64           // those due at once fire in the order in which they were set
	token    uint64           // of the decision module
	request  decide.RequestID // for the backstop, 0 if the timer is the decision module's
}

// timerQueue fires timers in the order of their instants.
type timerQueue struct {
	heap         timerHeap
	lastSequence uint64
}

// set adds a timer.
func (q *timerQueue) set(t timer) {
	q.lastSequence++
	t.sequence = q.lastSequence
	heap.Push(&q.heap, t)
}

// takeDue removes the first timer and returns it, false if none is due.
func (q *timerQueue) takeDue(now time.Duration) (timer, bool) {
	if len(q.heap) == 0 || q.heap[0].dueAt > now {
		return timer{}, false
	}
	return heap.Pop(&q.heap).(timer), true
}

// nextAt returns when the first timer is due, false if there is none.
func (q *timerQueue) nextAt() (time.Duration, bool) {
	if len(q.heap) == 0 {
		return 0, false
	}
	return q.heap[0].dueAt, true
}

// timerHeap is a heap.Interface.
type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	return a.dueAt < b.dueAt || a.dueAt == b.dueAt && a.sequence < b.sequence
}

func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

func (h *timerHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
