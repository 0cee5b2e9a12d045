package model

import (
	"container/heap"
	"time"
)

type event struct {
	at    time.Duration
	order int
	do    func()
}
type eventQueue []event

func (s eventQueue) Len() int      { return len(s) }
func (s eventQueue) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *eventQueue) Push(x any)   { *s = append(*s, x.(event)) }
func (s eventQueue) Less(i, j int) bool {
	return s[i].at < s[j].at || s[i].at == s[j].at && s[i].order < s[j].order
}
func (s *eventQueue) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// After runs do after a delay. Events that are due at the same time run in the order of their After calls.
func (f *Fleet) After(d time.Duration, do func()) {
	f.sequence++
	heap.Push(&f.events, event{f.Now + d, f.sequence, do})
}

// Advance runs all events that are due within a duration and moves the clock on by it.
func (f *Fleet) Advance(d time.Duration) {
	until := f.Now + d
	for len(f.events) > 0 && f.events[0].at <= until {
		next := heap.Pop(&f.events).(event)
		f.Now = next.at
		next.do()
	}
	f.Now = until
}

// RandomDuration draws a duration between two limits.
func (f *Fleet) RandomDuration(least, most time.Duration) time.Duration {
	return least + time.Duration(f.rng.Float64()*float64(most-least))
}
