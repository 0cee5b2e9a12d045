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

const (
	clientNamespace  = "jabber:client"
	errorsNamespace  = "urn:ietf:params:xml:ns:xmpp-streams"
	retryNamespace   = "urn:capersail:retry"
	stanzasNamespace = "urn:ietf:params:xml:ns:xmpp-stanzas"
	streamsNamespace = "http://etherx.jabber.org/streams"
	tlsNamespace     = "urn:ietf:params:xml:ns:xmpp-tls"

	xmlDeclaration = "<?xml version='1.0'?>"
	streamEndTag   = "</stream:stream>"
	// streamErrorName is the name of the element with which a peer ends its stream by an error.
	streamErrorName = "stream:error"
	proceedTLS      = "<proceed xmlns='" + tlsNamespace + "'/>"
	requireTLS      = "<stream:features><starttls xmlns='" + tlsNamespace +
		"'><required/></starttls></stream:features>"
)

// encodeHeader returns the stream start tag that the relay sends to a client before it has one of a server.
func encodeHeader(from string) string {
	id := make([]byte, 8)
	rand.Read(id)
	return fmt.Sprintf(
		"<stream:stream from='%s' id='%s' version='1.0' xml:lang='en' xmlns='%s' xmlns:stream='%s'>",
		escape(from), hex.EncodeToString(id), clientNamespace, streamsNamespace)
}

// encodeClientHeader returns the start tag of a stream that the relay opens to a server, for a probe.
func encodeClientHeader(to string) string {
	return fmt.Sprintf("<stream:stream to='%s' version='1.0' xmlns='%s' xmlns:stream='%s'>",
		escape(to), clientNamespace, streamsNamespace)
}

// encodeRetryAfter returns the child element of a stream error that tells a rejected client when to retry.
func encodeRetryAfter(retryAfter time.Duration) string {
	ms := int(math.Ceil(relay.Millis(retryAfter)))
	return fmt.Sprintf("<retry-after xmlns='%s' ms='%d'/>", retryNamespace, ms)
}

// escape escapes the text of an attribute value, which may have been in double quotes, for use in single
// quotes. The scanner has checked the text, so its existing escapes are kept.
func escape(text string) string { return strings.NewReplacer("'", "&apos;", "<", "&lt;").Replace(text) }

// encodeBounce returns the error stanza that answers an undeliverable stanza. It returns "" for stanzas that
// must not be answered with an error: errors, results and other elements than message, presence and iq.
func encodeBounce(it item) string {
	if it.kind != firstLevelElement || isResponse(it) {
		return ""
	}
	if it.name != "message" && it.name != "presence" && it.name != "iq" {
		return ""
	}
	var b strings.Builder
	fmt.Fprintf(&b, "<%s type='error'", it.name)
	for _, a := range [][2]string{{"id", "id"}, {"from", "to"}, {"to", "from"}} {
		if v := it.attribute(a[1]); v != "" {
			fmt.Fprintf(&b, " %s='%s'", a[0], escape(v))
		}
	}
	fmt.Fprintf(&b, "><error type='wait'><remote-server-timeout xmlns='%s'/></error></%s>",
		stanzasNamespace, it.name)
	return b.String()
}

// stripStartTLS removes the server's offer of STARTTLS from its features: the relay terminates TLS, or the
// operator's file allows plaintext.
func stripStartTLS(features string) string {
	i := strings.Index(features, "<starttls")
	if i < 0 {
		return features
	}
	rest := features[i:]
	if j := strings.Index(rest, ">"); j > 0 && rest[j-1] == '/' {
		return features[:i] + rest[j+1:]
	}
	if j := strings.Index(rest, "</starttls>"); j >= 0 {
		return features[:i] + rest[j+len("</starttls>"):]
	}
	return features
}
