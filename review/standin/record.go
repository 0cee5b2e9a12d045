package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// measuringError is how late a stand-in may read its clock. What is over a bound by less is not judged.
const measuringError = 20 * time.Millisecond

// record is the file record.txt of a case.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, began: time.Now()}, nil
}

// add writes a line with the seconds since the start.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// since returns the seconds from the start to an instant.
func (r *record) since(at time.Time) float64 { return at.Sub(r.began).Seconds() }
