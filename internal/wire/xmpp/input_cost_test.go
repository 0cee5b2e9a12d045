package xmpp

import (
	"errors"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

const testStreamStart = "<stream:stream to='a'>"

// shortAttributes returns n attributes with different names.
func shortAttributes(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, " a%d=''", i)
	}
	return b.String()
}

// allocatedBy returns how many bytes fn allocates, and how many of them are in use after it.
func allocatedBy(fn func()) (allocated, inUse int64) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	fn()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return int64(after.TotalAlloc - before.TotalAlloc), int64(after.HeapAlloc) - int64(before.HeapAlloc)
}

// The largest item must cost memory and processor time in proportion to its text. Attributes were parsed into
// a map that took more than ten times their text, and each '>' of a data section copied the section.
func TestLargestItemCostsInProportion(t *testing.T) {
	const size = maxItemBytes - 1000
	fill := func(unit string) string { return strings.Repeat(unit, size/len(unit)) }
	const factor = 8 // of the text: the buffer grows by doubling, and the item is copied once
	for name, text := range map[string]string{
		"attributes":        "<a" + shortAttributes(maxAttributes) + ">" + fill("x") + "</a>",
		"nested attributes": "<a>" + fill("<b"+shortAttributes(maxAttributes)+"/>") + "</a>",
		"nested elements":   "<a>" + fill("<b/>") + "</a>",
		"data section":      "<a><![CDATA[" + fill(">") + "]]></a>",
		"entities":          "<a>" + fill("&lt;") + "</a>",
		"text":              "<a>" + fill("x") + "</a>",
	} {
		var items []item
		allocated, inUse := allocatedBy(func() {
			s := scanner{maxBytes: maxItemBytes}
			var err error
			if items, err = s.feed([]byte(testStreamStart + text)); err != nil || len(items) != 2 {
				t.Errorf("%s: got %d items and error %v, want 2 and none", name, len(items), err)
			}
		})
		if allocated > factor*maxItemBytes || inUse > 2*maxItemBytes {
			t.Errorf("%s: an item of %d bytes allocated %d and keeps %d, want at most %d and %d",
				name, len(text), allocated, inUse, factor*maxItemBytes, 2*maxItemBytes)
		}
		runtime.KeepAlive(items)
	}
}

// A tag may have no more than maxAttributes, all of different names.
func TestAttributesAreBoundedAndDistinct(t *testing.T) {
	for text, want := range map[string]error{
		"<a" + shortAttributes(maxAttributes) + "/>":   nil,
		"<a" + shortAttributes(maxAttributes+1) + "/>": errTooLarge,
		"<a b='1' c='2' b='3'/>":                       errNotWellFormed,
	} {
		s := scanner{maxBytes: maxItemBytes}
		if _, err := s.feed([]byte(testStreamStart + text)); !errors.Is(err, want) {
			t.Errorf("%.40q of %d bytes: got error %v, want %v", text, len(text), err, want)
		}
	}
}

// Only attributes of the outermost tag count, wherever it ends and however it is written.
func TestAttributeOfOutermostTag(t *testing.T) {
	for text, want := range map[string]string{
		"<iq id='5'/>":                    "5",
		"<iq\n id = \"5\" >x</iq>":        "5",
		"<iq to='a' id='5'><q/></iq>":     "5",
		"<iq><ping xmlns='x' id='5'/>":    "",
		"<iq to='id=5'><ping id='6'/>":    "",
		"<iq to='a>b' id='5'/>":           "5",
		"</stream:stream>":                "",
		"<iq to='a'/><iq id='5'/>":        "",
		"<iq xml:id='4' id='5' idx='6'/>": "5",
	} {
		if got := (item{raw: []byte(text)}).attribute("id"); got != want {
			t.Errorf("id of %s: got %q, want %q", text, got, want)
		}
	}
}

// One client that sends small stanzas at full speed must leave the processor to others. All of its stanzas
// must arrive in the end.
func TestStanzasAtFullSpeedArePaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPipedStream(t)
		defer p.close()
		p.answerQueries(0)
		p.client.readAll(nil)
		const stanzas, inFirstSecond = 20_000, 6_000
		p.client.send("%s", strings.Repeat("<presence/>", stanzas))
		pass(time.Second)
		if got := p.server.count("presence", "", ""); got > inFirstSecond {
			t.Errorf("server got %d stanzas in the first second, want at most %d", got, inFirstSecond)
		}
		pass(time.Minute)
		if got := p.server.count("presence", "", ""); got != stanzas {
			t.Errorf("server got %d stanzas, want %d", got, stanzas)
		}
	})
}

// A client whose large stanza the relay has no memory for must get an outcome. Small stanzas need none of the
// shared memory.
func TestStanzaWithoutMemoryIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPipedStream(t)
		defer p.close()
		p.limiter.SetBufferLimit(0)
		p.answerQueries(0)
		p.client.readAll(nil)
		p.client.sendEvery(0, 100, query)
		synctest.Wait()
		if got := p.client.count("iq", "result", ""); got != 100 {
			t.Errorf("%d of 100 small queries were answered, want all", got)
		}
		p.client.send("<message><body>%s", strings.Repeat("x", maxItemBytes/2)) // and no end
		synctest.Wait()
		if got := p.client.count("error", "", ""); got != 1 || !p.client.hasEnded() {
			t.Errorf("client got %d stream errors, stream ended %v; want 1, true", got, p.client.hasEnded())
		}
	})
}
