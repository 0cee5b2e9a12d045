package xmpp

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"math"
	"strings"
	"time"

	"capersail/internal/relay"
)

// encodeRetryAfter is the child of a refusal that tells the client when to come again.
func encodeRetryAfter(d time.Duration) string {
	return fmt.Sprintf("<retry-after xmlns='%s' ms='%d'/>", retryNamespace, int(math.Ceil(relay.Millis(d))))
}

// encodeHeader is the relay's own, where no server's has come.
func encodeHeader(from string) string {
	id := make([]byte, 8)
	rand.Read(id)
	return fmt.Sprintf("<stream:stream from='%s' id='%s' version='1.0' xml:lang='en' xmlns='jabber:client' xmlns:stream='%s'>",
		escape(from), hex.EncodeToString(id), streamsNamespace)
}

// escape makes text that stood in one kind of quotes fit for single ones. It was scanned before, so what
// other escapes it holds stay as they are.
func escape(text string) string { return strings.NewReplacer("'", "&apos;", "<", "&lt;").Replace(text) }

// encodeBounce is the error that answers a stanza which no server will take, or "" where none may be sent: an
// error is never answered, nor a reply.
func encodeBounce(it item) string {
	if it.kind != firstLevelElement || it.attrs["type"] == "error" || it.attrs["type"] == "result" {
		return ""
	}
	if it.name != "message" && it.name != "presence" && it.name != "iq" {
		return ""
	}
	var b strings.Builder
	fmt.Fprintf(&b, "<%s type='error'", it.name)
	for _, a := range [][2]string{{"id", "id"}, {"from", "to"}, {"to", "from"}} {
		if v := it.attrs[a[1]]; v != "" {
			fmt.Fprintf(&b, " %s='%s'", a[0], escape(v))
		}
	}
	fmt.Fprintf(&b, "><error type='wait'><remote-server-timeout xmlns='urn:ietf:params:xml:ns:xmpp-stanzas'/></error></%s>", it.name)
	return b.String()
}
