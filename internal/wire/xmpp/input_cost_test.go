package xmpp

import (
	"runtime"
	"strings"
	"testing"
)

const testStreamStart = "<stream:stream to='a'>"

// allocatedBy returns how many bytes fn allocates.
func allocatedBy(fn func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	fn()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// A data section must cost processor time in proportion to its text. Each '>' in it copied the section so far.
func TestDataSectionCostsInProportion(t *testing.T) {
	const factor = 8 // of the text: the buffer grows by doubling, and the item is copied once
	section := "<a><![CDATA[" + strings.Repeat(">", maxItemBytes-100) + "]]></a>"
	allocated := allocatedBy(func() {
		var s scanner
		if items, err := s.feed([]byte(testStreamStart + section)); err != nil || len(items) != 2 {
			t.Errorf("got %d items and error %v, want 2 and none", len(items), err)
		}
	})
	if allocated > factor*maxItemBytes {
		t.Errorf("an item of %d bytes allocated %d, want at most %d", len(section), allocated, factor*maxItemBytes)
	}
}
