package lifecycle

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// leftLimit is how long after its client has left a request may be begun (the mission's 0.1 s).
	leftLimit = 100 * time.Millisecond
	// endWithin is how long the relay may take to end the stream of a client that has left.
	endWithin = 5 * time.Second
	// marker tells the client's header from that of a probe.
	marker = " xml:lang='marked'"
	// unreadStanzas is more than the relay reads from a client whose server is slow.
	unreadStanzas = 500
)

// gatedXMPP is an XMPP server that the test holds at one step, and that keeps what a client sends.
type gatedXMPP struct {
	reached chan struct{} // closed when the server is at the step
	proceed chan struct{} // closed to let the server go on
	ended   chan struct{} // closed when the client's connection has ended

	mu       sync.Mutex
	received strings.Builder
}

// startGatedXMPP starts a server that waits before it answers texts that contain step.
func startGatedXMPP(b *xmppFixture, step string) *gatedXMPP {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(func() { l.Close() })
	g := &gatedXMPP{reached: make(chan struct{}), proceed: make(chan struct{}), ended: make(chan struct{})}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go g.serve(conn, step)
		}
	}()
	b.zk.SetNode("gated", fmt.Sprintf(`{"address":%q,"lifecycle":"Ready","zone":"a"}`, l.Addr()))
	return g
}

const gatedFeatures = "<?xml version='1.0'?><stream:stream from='alerts.example' id='g' version='1.0' " +
	"xmlns='jabber:client' xmlns:stream='http://etherx.jabber.org/streams'><stream:features/>"

// serve answers a probe, or plays the server of the client's stream.
func (g *gatedXMPP) serve(conn net.Conn, step string) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	header, _ := in.ReadString('>')
	if rest, _ := in.ReadString('>'); !strings.Contains(header+rest, marker) {
		io.WriteString(conn, gatedFeatures)
		io.Copy(io.Discard, conn)
		return
	}
	defer close(g.ended)
	var reach sync.Once
	// answer sends an answer to a text, at the step not before the test lets the server go on. The server reads
	// on meanwhile, so that it has all that was sent before.
	answer := func(to, text string) {
		if !strings.Contains(to, step) {
			io.WriteString(conn, text)
			return
		}
		reach.Do(func() { close(g.reached) })
		go func() {
			<-g.proceed
			io.WriteString(conn, text)
		}()
	}
	answer(marker, gatedFeatures)
	for {
		tag, err := in.ReadString('>')
		if err != nil {
			return
		}
		g.mu.Lock()
		g.received.WriteString(tag)
		g.mu.Unlock()
		switch {
		case strings.Contains(tag, "</auth"):
			answer(tag, "<success xmlns='urn:ietf:params:xml:ns:xmpp-sasl'/>")
		case strings.Contains(tag, "<stream:stream"):
			answer(tag, gatedFeatures)
		case strings.Contains(tag, "<iq"): // a ping of the relay
			_, id, _ := strings.Cut(tag, "id='")
			id, _, _ = strings.Cut(id, "'")
			answer(tag, fmt.Sprintf("<iq type='result' id='%s'/>", id))
		}
	}
}

func (g *gatedXMPP) count(text string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return strings.Count(g.received.String(), text)
}

// leave closes a client's connection in order or with a reset.
func leave(conn net.Conn, reset bool) {
	if reset {
		conn.(*net.TCPConn).SetLinger(0)
	}
	conn.Close()
}

// expectNothingLate lets a client leave while its server is held, and checks that the server gets no stanza
// of it after leftLimit.
func expectNothingLate(t *testing.T, g *gatedXMPP, conn net.Conn, reset bool) {
	t.Helper()
	<-g.reached
	leave(conn, reset)
	time.Sleep(leftLimit)
	before := g.count(stanzaText)
	close(g.proceed)
	select {
	case <-g.ended:
	case <-time.After(endWithin):
		t.Errorf("left by a reset %v: the stream is open at the server %v after its client had left", reset, endWithin)
	}
	if late := g.count(stanzaText) - before; late > 0 || before == 0 && g.count("<auth") > 0 {
		t.Errorf("left by a reset %v: server got %d stanzas and %d SASL elements %v after the client had left, want none",
			reset, late, g.count("<auth"), leftLimit)
	}
}

const stanzaText = "late"

var (
	markedHeader = strings.Replace(streamHeader, " to=", marker+" to=", 1)
	manyStanzas  = strings.Repeat("<message><body>"+stanzaText+"</body></message>", unreadStanzas)
)

// A client that left with much still unread by the relay was not noticed: the relay was waiting for room in
// its queue and read nothing. Its stream was opened at the server, and its SASL and stanzas were sent on.
func TestStreamOfAClientThatLeftIsNotOpened(t *testing.T) {
	for _, reset := range []bool{false, true} {
		b := newXMPPFixture(t, "plaintext = true")
		g := startGatedXMPP(b, marker)
		b.awaitServer("gated")
		conn, err := net.Dial("tcp", b.address)
		if err != nil {
			t.Fatal(err)
		}
		go io.WriteString(conn, markedHeader+authElement+manyStanzas)
		expectNothingLate(t, g, conn, reset)
	}
}

// The stanzas of an established client that left while its server confirmed nothing were sent on once the
// server did.
func TestStanzasOfAClientThatLeftAreNotSentOn(t *testing.T) {
	for _, reset := range []bool{false, true} {
		b := newXMPPFixture(t, "plaintext = true")
		g := startGatedXMPP(b, "<iq")
		b.awaitServer("gated")
		conn, err := net.Dial("tcp", b.address)
		if err != nil {
			t.Fatal(err)
		}
		in := bufio.NewReader(conn)
		for _, step := range [][2]string{
			{markedHeader, "<stream:features/>"}, {authElement, "<success"}, {streamHeader, "<stream:features/>"},
		} {
			io.WriteString(conn, step[0])
			for tag := ""; !strings.Contains(tag, step[1]); {
				if tag, err = in.ReadString('>'); err != nil {
					t.Fatal(err)
				}
			}
		}
		go io.WriteString(conn, manyStanzas)
		expectNothingLate(t, g, conn, reset)
	}
}
