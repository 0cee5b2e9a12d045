package xmpp

import (
	"fmt"
	"testing"
)

// feed processes bytes and returns the items that they complete.
func (s *scanner) feed(p []byte) (items []item, err error) {
	for len(p) > 0 {
		var it *item
		if it, p, err = s.next(p); it == nil || err != nil {
			return items, err
		}
		items = append(items, *it)
	}
	return items, nil
}

// FuzzItemsDoNotDependOnReads checks that the items do not depend on where reads end, and that the limits
// hold.
func FuzzItemsDoNotDependOnReads(f *testing.F) {
	const start = "<?xml version='1.0'?><stream:stream to='a'>"
	f.Add([]byte(start + "<message id='1'><body>a&lt;<![CDATA[</x>]]></body></message></stream:stream>"))
	f.Add([]byte(start + "<auth/>" + start + "<iq type=\"get\"/>"))
	f.Add([]byte("<!DOCTYPE x>"))
	f.Add([]byte(start + "<a>&own;</a>"))
	f.Add([]byte(start + "<a><!-- no --></a>"))
	f.Fuzz(func(t *testing.T, text []byte) {
		whole, bytes := scanner{maxBytes: maxItemBytes}, scanner{maxBytes: maxItemBytes}
		wholeItems, wholeErr := whole.feed(text)
		var byteItems []item
		var bytesErr error
		for i := 0; i < len(text) && bytesErr == nil; i++ {
			var more []item
			more, bytesErr = bytes.feed(text[i : i+1])
			byteItems = append(byteItems, more...)
		}
		if fmt.Sprint(wholeItems, wholeErr) != fmt.Sprint(byteItems, bytesErr) {
			t.Errorf("got items %v and error %v from one read, but %v and %v byte by byte",
				wholeItems, wholeErr, byteItems, bytesErr)
		}
		if len(whole.item) > maxItemBytes || len(whole.openTags) > maxDepth {
			t.Errorf("got an item of %d bytes at depth %d, above maxItemBytes or maxDepth",
				len(whole.item), len(whole.openTags))
		}
	})
}
