package relay

import (
	"container/heap"
	"time"

	"capersail/decide"
)

// timer is a timer of the decision module, or the backstop timer of a request.
type timer struct {
	dueAt    time.Duration
	sequence uint64           // timers due at the same instant fire in the order in which they were set
	token    uint64           // token of the decision module, passed back to it
	request  decide.RequestID // request of a backstop timer, 0 for a timer of the decision module
}

// timerQueue fires timers in the order of their instants.
type timerQueue struct {
	heap         timerHeap
	lastSequence uint64
}

func (q *timerQueue) set(t timer) {
	q.lastSequence++
	t.sequence = q.lastSequence
	heap.Push(&q.heap, t)
}

// takeDue removes and returns the first timer, or returns false if none is due.
func (q *timerQueue) takeDue(now time.Duration) (timer, bool) {
	if len(q.heap) == 0 || q.heap[0].dueAt > now {
		return timer{}, false
	}
	return heap.Pop(&q.heap).(timer), true
}

// nextAt returns the instant at which the first timer is due, or false if there is no timer.
func (q *timerQueue) nextAt() (time.Duration, bool) {
	if len(q.heap) == 0 {
		return 0, false
	}
	return q.heap[0].dueAt, true
}

// timerHeap implements heap.Interface, ordered by dueAt and sequence.
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
