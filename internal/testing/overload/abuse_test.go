package overload

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// abuse is one kind of client that uses up memory or the processor. send uses one connection until it fails
// or is closed; a client connects again then.
type abuse struct {
	name    string
	network string
	address func(*relayProcess) string
	send    func(net.Conn)
	// wentOver marks kinds that took the memory over its limit or kept others waiting before there were
	// limits.
	wentOver bool
}

const (
	slowInterval = 20 * time.Millisecond // between two bytes of a client that writes slowly
	// reconnectDelay is the pause of a client between two connections.
	reconnectDelay = 10 * time.Millisecond
)

// run opens one connection after another until stop is closed.
func (a abuse) run(r *relayProcess, stop <-chan struct{}) {
	for {
		if conn, err := dialWithin(a.network, a.address(r), time.Minute); err == nil {
			ended := make(chan struct{})
			go func() {
				select {
				case <-stop:
				case <-ended:
				}
				conn.Close()
			}()
			a.send(conn)
			close(ended)
		}
		select {
		case <-stop:
			return
		case <-time.After(reconnectDelay):
		}
	}
}

// start runs a number of clients. wait returns once all have ended.
func (a abuse) start(r *relayProcess, clients int, stop <-chan struct{}) (wait func()) {
	var running sync.WaitGroup
	for range clients {
		running.Go(func() { a.run(r, stop) })
	}
	return running.Wait
}

// sendSlowly writes a text byte by byte.
func sendSlowly(conn net.Conn, text string) {
	go io.Copy(io.Discard, conn)
	for i := range len(text) {
		if _, err := io.WriteString(conn, text[i:i+1]); err != nil {
			return
		}
		time.Sleep(slowInterval)
	}
}

// sendAndHold writes a text and keeps the connection open until the relay closes it.
func sendAndHold(conn net.Conn, text string) {
	go io.WriteString(conn, text)
	io.Copy(io.Discard, conn)
}

// flood writes what next returns over and over, and reads what comes back.
func flood(conn net.Conn, next func() string) {
	go io.Copy(io.Discard, conn)
	for {
		if _, err := io.WriteString(conn, next()); err != nil {
			return
		}
	}
}

func repeated(text string) func() string { return func() string { return text } }

// shortFields returns n short fields with different names, as format writes the i-th.
func shortFields(n int, format string) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, format, i)
	}
	return b.String()
}

func platformAddress(r *relayProcess) string { return r.platform }
func xmppAddress(r *relayProcess) string     { return r.xmpp }
func adminAddress(r *relayProcess) string    { return r.admin }
func controlAddress(r *relayProcess) string  { return r.control }

// onStream runs send on an established XMPP stream.
func onStream(send func(net.Conn)) func(net.Conn) {
	return func(conn net.Conn) {
		if establish(conn) == nil {
			send(conn)
		}
	}
}

// onPlatform runs send on a connection that is established at a server of the platform.
func onPlatform(send func(net.Conn)) func(net.Conn) {
	return func(conn net.Conn) {
		fmt.Fprintf(conn, "OPEN abuse%d 7f c=map-stream,t=acme,d=3000\r\n", openings.next())
		if readUntil(conn, "UP") == nil {
			send(conn)
		}
	}
}

// The sizes of the texts are just under the largest that the relay takes: 4 KiB for a line of the platform
// and 64 KiB for an XMPP item and a query.
var (
	longLine      = "OPEN a 7f c=map-stream,t=acme,d=3000,x=" + strings.Repeat("x", 4000)
	manyFields    = "OPEN a%d 7f c=map-stream,t=acme,d=3000" + shortFields(600, ",f%d=1") + "\r\n"
	manyAttrs     = shortFields(6000, " a%d=''")
	xmppTag       = strings.TrimSuffix(xmppHeader, ">")
	halfHeader    = xmppTag + " x='" + strings.Repeat("x", 60_000)
	fieldsHeader  = xmppTag + manyAttrs + ">"
	halfStanza    = "<message><body>" + strings.Repeat("x", 60_000)
	fieldsStanza  = "<message" + manyAttrs + "/>"
	nestedFields  = "<message>" + strings.Repeat("<a"+shortFields(20, " a%d=''")+"/>", 350) + "</message>"
	markupStanza  = "<message><![CDATA[" + strings.Repeat(">", 60_000) + "]]></message>"
	tinyStanzas   = strings.Repeat("<a/>", 1000)
	manyHeads     = "GET /ops/readiness HTTP/1.1\r\nHost: a\r\n" + shortFields(1000, "a%d:\r\n")
	longHead      = "GET /ops/readiness HTTP/1.1\r\nHost: a\r\nA: " + strings.Repeat("x", 60_000)
	namesQuery    = `{"servers":["s1"` + strings.Repeat(`,""`, 21_000) + "]}\n"
	halfQuery     = `{"servers":["` + strings.Repeat("x", 60_000)
	emptyNames    = strings.Repeat("\r\n", 2000)
	unsoundNumber counter
)

// memoryAbuses are clients that write slowly, stop half way or send very many fields; there are hundreds.
var memoryAbuses = []abuse{
	{"platform: slow line", "tcp", platformAddress, func(c net.Conn) { sendSlowly(c, longLine) }, false},
	{"platform: half a line", "tcp", platformAddress, func(c net.Conn) { sendAndHold(c, longLine) }, false},
	{"platform: many fields", "tcp", platformAddress, func(c net.Conn) {
		sendAndHold(c, fmt.Sprintf(manyFields, openings.next()))
	}, false},
	{"platform: half a line once up", "tcp", platformAddress, onPlatform(func(c net.Conn) { sendAndHold(c, longLine) }), false},
	{"xmpp: slow header", "tcp", xmppAddress, func(c net.Conn) { sendSlowly(c, fieldsHeader) }, false},
	{"xmpp: half a header", "tcp", xmppAddress, func(c net.Conn) { sendAndHold(c, halfHeader) }, false},
	{"xmpp: header of many fields", "tcp", xmppAddress, func(c net.Conn) { sendAndHold(c, fieldsHeader) }, false},
	{"xmpp: slow stanza", "tcp", xmppAddress, onStream(func(c net.Conn) { sendSlowly(c, fieldsStanza) }), false},
	{"xmpp: half a stanza", "tcp", xmppAddress, onStream(func(c net.Conn) { sendAndHold(c, halfStanza) }), false},
	{"xmpp: stanzas of many fields", "tcp", xmppAddress, onStream(func(c net.Conn) {
		sendAndHold(c, strings.Repeat(fieldsStanza, 8))
	}), true},
	{"xmpp: nested fields", "tcp", xmppAddress, onStream(func(c net.Conn) {
		sendAndHold(c, strings.Repeat(nestedFields, 8))
	}), true},
	{"admin: slow head", "tcp", adminAddress, func(c net.Conn) { sendSlowly(c, manyHeads) }, false},
	{"admin: half a head", "tcp", adminAddress, func(c net.Conn) { sendAndHold(c, longHead) }, true},
	{"admin: head of many fields", "tcp", adminAddress, func(c net.Conn) { sendAndHold(c, manyHeads) }, false},
	{"control: slow query", "unix", controlAddress, func(c net.Conn) { sendSlowly(c, namesQuery) }, false},
	{"control: half a query", "unix", controlAddress, func(c net.Conn) { sendAndHold(c, halfQuery) }, true},
	{"control: query of many names", "unix", controlAddress, func(c net.Conn) { sendAndHold(c, namesQuery) }, false},
}

// nextUnsound returns an unsound request under a new name.
func nextUnsound(format string) func() string {
	return func() string { return fmt.Sprintf(format, unsoundNumber.next()) }
}

// oneRequest sends one request, and reads the answer to the end of the connection.
func oneRequest(format string) func(net.Conn) {
	return func(c net.Conn) {
		fmt.Fprintf(c, format, unsoundNumber.next())
		io.Copy(io.Discard, c)
	}
}

// floodAbuses are clients that send small, unsound or costly requests at full speed; there is one.
var floodAbuses = []abuse{
	{"platform: pings", "tcp", platformAddress, func(c net.Conn) { flood(c, repeated("PING\r\n")) }, false},
	{"platform: unsound lines", "tcp", platformAddress, oneRequest("OPEN n%d 7f c=none,d=x\r\n"), false},
	{"platform: empty lines once up", "tcp", platformAddress,
		onPlatform(func(c net.Conn) { flood(c, repeated(emptyNames)) }), true},
	{"platform: small lines once up", "tcp", platformAddress,
		onPlatform(func(c net.Conn) { flood(c, nextUnsound("n%d\r\n")) }), false},
	{"xmpp: unknown hosts", "tcp", xmppAddress,
		oneRequest("<stream:stream to='h%d' version='1.0' xmlns='jabber:client' " +
			"xmlns:stream='http://etherx.jabber.org/streams'>"), false},
	{"xmpp: tiny stanzas", "tcp", xmppAddress, onStream(func(c net.Conn) { flood(c, repeated(tinyStanzas)) }), true},
	{"xmpp: new ids", "tcp", xmppAddress, onStream(func(c net.Conn) { flood(c, nextUnsound("<iq type='get' id='%d'/>")) }), false},
	{"xmpp: data sections", "tcp", xmppAddress, onStream(func(c net.Conn) { flood(c, repeated(markupStanza)) }), true},
	{"xmpp: stanzas of many fields", "tcp", xmppAddress, onStream(func(c net.Conn) { flood(c, repeated(fieldsStanza)) }), false},
	{"xmpp: nested fields", "tcp", xmppAddress, onStream(func(c net.Conn) { flood(c, repeated(nestedFields)) }), false},
	{"admin: calls", "tcp", adminAddress, oneRequest("GET /ops/stats?%d HTTP/1.1\r\nHost: a\r\n\r\n"), false},
	{"admin: unknown servers", "tcp", adminAddress,
		oneRequest("POST /ops/tile-servers/down/n%d HTTP/1.1\r\nHost: a\r\n\r\n"), false},
	{"admin: unsound calls", "tcp", adminAddress, func(c net.Conn) { flood(c, nextUnsound("%d \r\n\r\n")) }, false},
	{"control: unsound queries", "unix", controlAddress, oneRequest("{%d}\n"), false},
	{"control: queries of many names", "unix", controlAddress, func(c net.Conn) { sendAndHold(c, namesQuery) }, false},
}
