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

// After does something later. What is due at once is done in the order in which it was asked for.
func (f *Fleet) After(d time.Duration, do func()) {
	f.sequence++
	heap.Push(&f.events, event{f.Now + d, f.sequence, do})
}

// Advance lets time pass.
func (f *Fleet) Advance(d time.Duration) {
	until := f.Now + d
	for len(f.events) > 0 && f.events[0].at <= until {
		next := heap.Pop(&f.events).(event)
		f.Now = next.at
		next.do()
	}
	f.Now = until
}

// Between draws a time.
func (f *Fleet) RandomDuration(least, most time.Duration) time.Duration {
	return least + time.Duration(f.rng.Float64()*float64(most-least))
}
