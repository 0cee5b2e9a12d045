package recorder

import (
	"sync"
	"testing"
	"time"
)

// In a burst of 100,000 records from many writers, the records that fit are kept, the others are counted as
// dropped, and no writer waits.
func TestBurstIsBoundedAndCounted(t *testing.T) {
	x := New(4096)
	var all sync.WaitGroup
	for w := range 10 {
		all.Go(func() {
			for i := range 10_000 {
				x.Put(&Record{At: time.Duration(i), Kind: AttemptStarted, Server: int32(w)})
			}
		})
	}
	all.Wait()
	select {
	case <-x.Ready():
	default:
		t.Error("the reader was not woken by a half full buffer")
	}
	got := x.TakeAll(nil)
	last := got[len(got)-1]
	if len(got) != 4097 || last.Kind != RecordsDropped || last.Count != 100_000-4096 {
		t.Errorf("took %d records, the last %+v; want 4096 and a RecordsDropped of 95904", len(got), last)
	}
	x.Put(&Record{Kind: ConnectionUp})
	if got = x.TakeAll(got[:0]); len(got) != 1 || got[0].Kind != ConnectionUp {
		t.Errorf("after the burst: took %+v, want one ConnectionUp record", got)
	}
}

// No record is lost or read twice while one goroutine reads and another writes.
func TestNoRecordIsLostOrReadTwice(t *testing.T) {
	x := New(1 << 16)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range 50_000 {
			x.Put(&Record{Request: uint64(i + 1)})
		}
	}()
	next, spare := uint64(1), []Record(nil)
	for ended := false; !ended; {
		select {
		case <-done:
			ended = true
		default:
		}
		spare = x.TakeAll(spare)
		for _, r := range spare {
			if r.Request != next {
				t.Fatalf("read record %d, want record %d", r.Request, next)
			}
			next++
		}
	}
	if next != 50_001 {
		t.Errorf("read %d records, want 50000", next-1)
	}
}

// BenchmarkRecord measures the cost of adding a record.
func BenchmarkRecord(b *testing.B) {
	x := New(1 << 14)
	var spare []Record
	r := Record{Kind: AttemptStarted, Server: 3, CandidateCount: 4}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if x.Put(&r); i&0x1fff == 0 {
			spare = x.TakeAll(spare)
		}
	}
}
