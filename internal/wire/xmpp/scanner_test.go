package xmpp

import (
	"fmt"
	"testing"
)

// FuzzItemsDoNotDependOnReads checks that where reads end makes no difference, and that the bounds hold.
func FuzzItemsDoNotDependOnReads(f *testing.F) {
	const start = "<?xml version='1.0'?><stream:stream to='a'>"
	f.Add([]byte(start + "<message id='1'><body>a&lt;<![CDATA[</x>]]></body></message></stream:stream>"))
	f.Add([]byte(start + "<auth/>" + start + "<iq type=\"get\"/>"))
	f.Add([]byte("<!DOCTYPE x>"))
	f.Add([]byte(start + "<a>&own;</a>"))
	f.Add([]byte(start + "<a><!-- no --></a>"))
	f.Fuzz(func(t *testing.T, text []byte) {
		var whole, bytes scanner
		all, err := whole.feed(text)
		var each []item
		var eachErr error
		for i := 0; i < len(text) && eachErr == nil; i++ {
			var more []item
			more, eachErr = bytes.feed(text[i : i+1])
			each = append(each, more...)
		}
		if fmt.Sprint(all, err) != fmt.Sprint(each, eachErr) {
			t.Errorf("at once %v %v, byte by byte %v %v", all, err, each, eachErr)
		}
		if len(whole.item) > maxItemBytes || len(whole.openTags) > maxDepth {
			t.Errorf("%d bytes, depth %d", len(whole.item), len(whole.openTags))
		}
	})
}
