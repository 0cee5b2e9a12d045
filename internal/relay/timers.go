package relay

import (
	"container/heap"

	"capersail/decide"
)

// timer is a moment at which the module wants an alarm, or the backstop looks at a request.
type timer struct {
	dueAt   float64
	order   uint64 // those due at once go off in the order they were set
	token   uint64
	request decide.RequestID
}

type timers struct {
	entries   []timer
	lastOrder uint64
}

func (t *timers) Len() int { return len(t.entries) }
func (t *timers) Less(i, j int) bool {
	a, b := t.entries[i], t.entries[j]
	return a.dueAt < b.dueAt || a.dueAt == b.dueAt && a.order < b.order
}
func (t *timers) Swap(i, j int) { t.entries[i], t.entries[j] = t.entries[j], t.entries[i] }
func (t *timers) Push(x any)    { t.entries = append(t.entries, x.(timer)) }
func (t *timers) Pop() any {
	last := t.entries[len(t.entries)-1]
	t.entries = t.entries[:len(t.entries)-1]
	return last
}

func (t *timers) set(x timer) {
	t.lastOrder++
	x.order = t.lastOrder
	heap.Push(t, x)
}
