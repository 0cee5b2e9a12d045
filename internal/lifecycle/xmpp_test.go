package lifecycle

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"capersail/internal/testing/fake"
)

// xmppFixture is an XMPP front with a fake ZooKeeper; the test adds fake servers and clients.
type xmppFixture struct {
	t          *testing.T
	zk         *fake.ZooKeeper
	address    string
	front      *runningFront
	configPath string // of the configuration file
}

const xmppConfigText = `listen = "127.0.0.1:0"
silent_ms = 400
connect_ms = 2000
zone = "a"
zones = ["a"]
%s
[zookeeper]
servers = ["%s"]
path = "/alerts"
session_ms = 3000
[[class]]
name = "alerts"
setup_ms = 4000
deadline_ms = 20000
[[host]]
to = "alerts.example"
class = "alerts"
`

func newXMPPFixture(t *testing.T, security string) *xmppFixture {
	zk, err := fake.NewZooKeeper("/alerts")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "xmpp.toml")
	if err := os.WriteFile(path, fmt.Appendf(nil, xmppConfigText, security, zk.Address), 0o600); err != nil {
		t.Fatal(err)
	}
	config, err := ReadXMPPConfig(path)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	r, err := startXMPP(ctx, Sources{XMPP: path}, config, nil, false, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	r.startServing()
	t.Cleanup(func() { r.listener.Close() })
	return &xmppFixture{t, zk, r.listener.Addr().String(), r, path}
}

// startServer starts an XMPP server, adds its node to ZooKeeper, and waits until the relay has read the node.
func (b *xmppFixture) startServer(name, hold string) *fake.XMPP {
	s, err := fake.NewXMPP(hold)
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(s.Kill)
	b.setNode(name, s, "Ready")
	b.awaitServer(name)
	return s
}

// awaitServer waits until the relay has read a server's node.
func (b *xmppFixture) awaitServer(name string) {
	for i := 0; ; i++ {
		if _, ok := b.front.requests.Server(name); ok {
			return
		}
		if i > 1000 {
			b.t.Fatal("the relay did not list the server within 10 s of its node's creation")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (b *xmppFixture) setNode(name string, s *fake.XMPP, lifecycle string) {
	b.zk.SetNode(name, fmt.Sprintf(`{"address":%q,"lifecycle":%q,"zone":"a"}`, s.Address, lifecycle))
}

// client is an XMPP client that parses the stream with encoding/xml.
type client struct {
	net.Conn
	d        *xml.Decoder
	received []string // results of nextElement for each element
}

const streamHeader = "<?xml version='1.0'?>" +
	"<stream:stream to='alerts.example' version='1.0' xmlns='jabber:client' " +
	"xmlns:stream='http://etherx.jabber.org/streams'>"

func (b *xmppFixture) dial() *client {
	conn, err := net.Dial("tcp", b.address)
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(func() { conn.Close() })
	c := &client{Conn: conn}
	c.openStream()
	return c
}

func (c *client) openStream() {
	c.SetDeadline(time.Now().Add(30 * time.Second))
	c.d = xml.NewDecoder(c)
	fmt.Fprint(c, streamHeader)
}

// nextElement returns the name of the next top-level element, "end" for a stream that was closed in order, or
// "broken". For a stream error it returns the condition, and for a bounced stanza "bounced" and the id.
func (c *client) nextElement() string {
	for {
		t, err := c.d.Token()
		if err != nil {
			return "broken"
		}
		if _, end := t.(xml.EndElement); end {
			return "end"
		}
		start, ok := t.(xml.StartElement)
		if !ok || start.Name.Local == "stream" {
			continue
		}
		var el struct {
			Type  string `xml:"type,attr"`
			ID    string `xml:"id,attr"`
			Inner []struct {
				XMLName xml.Name
				MS      int `xml:"ms,attr"`
			} `xml:",any"`
		}
		if c.d.DecodeElement(&el, &start) != nil {
			return "broken"
		}
		name := start.Name.Local
		switch {
		case name == "error" && len(el.Inner) > 0:
			name = el.Inner[0].XMLName.Local
			if len(el.Inner) > 1 && el.Inner[1].XMLName.Local == "retry-after" {
				name += "+retry-after"
			}
		case el.Type == "error":
			name = "bounced " + el.ID
		case name == "message":
			name += " " + el.ID
		}
		c.received = append(c.received, name)
		return name
	}
}

// readToEnd reads to the end of the stream, and returns the results of nextElement.
func (c *client) readToEnd() (all []string) {
	for {
		n := c.nextElement()
		all = append(all, n)
		if n == "end" || n == "broken" {
			return all
		}
	}
}

const authElement = "<auth xmlns='urn:ietf:params:xml:ns:xmpp-sasl' mechanism='PLAIN'>AGEAYg==</auth>"

// setUpStream authenticates and opens the second stream. It returns "up", or the element that came instead of
// the expected one.
func (c *client) setUpStream() string {
	if n := c.nextElement(); n != "features" {
		return n
	}
	fmt.Fprint(c, authElement)
	if n := c.nextElement(); n != "success" {
		return n
	}
	c.openStream()
	if n := c.nextElement(); n != "features" {
		return n
	}
	return "up"
}

func (b *xmppFixture) checkEqual(what string, got, want any) {
	b.t.Helper()
	if fmt.Sprint(got) != fmt.Sprint(want) {
		b.t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

func waitForStage(t *testing.T, s *fake.XMPP, want string) {
	t.Helper()
	select {
	case got := <-s.Stages:
		for got != want {
			got = <-s.Stages
		}
	case <-time.After(20 * time.Second):
		t.Fatalf("the server did not reach stage %q within 20 s", want)
	}
}

func TestXMPPServesAndRefuses(t *testing.T) {
	b := newXMPPFixture(t, "plaintext = true")
	b.checkEqual("stream without a listed server", b.dial().readToEnd(),
		"[resource-constraint+retry-after end]")
	s := b.startServer("n1", "")
	c := b.dial()
	b.checkEqual("set-up", c.setUpStream(), "up")
	fmt.Fprint(c, "<message id='m1' to='x'><body>a</body></message><message id='m2'/>")
	b.checkEqual("echo", c.nextElement()+c.nextElement(), "message m1message m2")
	fmt.Fprint(c, "</stream:stream>")
	b.checkEqual("stream closed by the client", c.readToEnd(), "[end]")
	for what, c := range map[string]struct{ send, want string }{
		"unknown host":  {strings.Replace(streamHeader, "alerts", "else", 1), "host-unknown"},
		"document type": {"<!DOCTYPE x>", "restricted-xml"},
		"instruction":   {"<?php x?>", "restricted-xml"},
		"not a stream":  {"<a></b>", "bad-format"},
		"other version": {
			strings.Replace(streamHeader, "1.0' xmlns", "0.9' xmlns", 1), "unsupported-version",
		},
		"a tag without end": {"<stream:stream a='" + strings.Repeat("x", 70<<10) + "'>", "policy-violation"},
	} {
		conn, err := net.Dial("tcp", b.address)
		if err != nil {
			t.Fatal(err)
		}
		k := &client{Conn: conn, d: xml.NewDecoder(conn)}
		conn.SetDeadline(time.Now().Add(30 * time.Second))
		fmt.Fprint(conn, c.send)
		b.checkEqual(what, k.readToEnd()[0], c.want)
		conn.Close()
	}
	s.Kill()
}

// An attempt that fails before SASL bytes have reached the server is retried at another server, and the
// client does not notice the failure.
func TestXMPPRetriesBeforeSASL(t *testing.T) {
	b := newXMPPFixture(t, "plaintext = true")
	dead := b.startServer("n1", "header")
	c := b.dial()
	waitForStage(t, dead, "header") // a probe or the attempt, as the server holds both at this stage
	b.startServer("n2", "")
	dead.Kill()
	if got := c.setUpStream(); got != "up" && got != "resource-constraint+retry-after" {
		t.Errorf("stream whose first server was killed: got %q, want up or resource-constraint", got)
	}
	for range 3 {
		b.checkEqual("stream after the kill", b.dial().setUpStream(), "up")
	}
}

func TestXMPPKilledServer(t *testing.T) {
	b := newXMPPFixture(t, "plaintext = true")
	s := b.startServer("n1", "")
	c := b.dial()
	b.checkEqual("set-up", c.setUpStream(), "up")
	s.Kill()
	b.checkEqual("stream whose server was killed", c.readToEnd(), "[remote-connection-failed end]")
}

func TestXMPPKilledMidSASL(t *testing.T) {
	b := newXMPPFixture(t, "plaintext = true")
	s := b.startServer("n1", "auth")
	c := b.dial()
	b.checkEqual("features", c.nextElement(), "features")
	fmt.Fprint(c, authElement)
	waitForStage(t, s, "auth")
	s.Kill()
	b.checkEqual("stream whose server was killed after SASL bytes were sent", c.readToEnd(),
		"[remote-connection-failed end]")
}

// Each stanza that a silent server has not confirmed is returned to the client as an error, exactly once.
func TestXMPPSilentServer(t *testing.T) {
	b := newXMPPFixture(t, "plaintext = true")
	s := b.startServer("n1", "")
	c := b.dial()
	b.checkEqual("set-up", c.setUpStream(), "up")
	s.SetSilent()
	var want []string
	for i := range 150 {
		fmt.Fprintf(c, "<message id='m%d' to='x'/>", i)
		want = append(want, fmt.Sprintf("bounced m%d", i))
	}
	got := c.readToEnd()
	if n := len(got); n < 2 || got[n-1] != "end" || got[n-2] != "connection-timeout" && got[n-2] != "reset" {
		t.Fatalf("last elements of the stream: got %v, want connection-timeout or reset, then end", got)
	}
	got = got[:len(got)-2]
	// Stanzas that did not fit into the relay's queue were never read from the socket, and are not returned.
	if len(got) < 64 || !slices.Equal(got, want[:len(got)]) {
		t.Errorf("bounced stanzas: got %v, want the first 64 or more in order", got)
	}
}

// A client that reads nothing while alerts come loses its stream. Once it reads again it must see that its
// connection has ended, and not wait for alerts on a connection that nobody serves.
func TestXMPPStalledClientSeesTheEnd(t *testing.T) {
	b := newXMPPFixture(t, "plaintext = true")
	s := b.startServer("n1", "")
	s.Flood = "<message><body>" + strings.Repeat("x", 2000) + "</body></message>"
	c := b.dial()
	b.checkEqual("set-up", c.setUpStream(), "up")
	waitForStage(t, s, "closed")
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.Copy(io.Discard, c); errors.Is(err, os.ErrDeadlineExceeded) {
		t.Error("the client's connection is open 5 s after its stream was closed at the server, want its end")
	}
}

func TestXMPPDrainMidSASL(t *testing.T) {
	b := newXMPPFixture(t, "plaintext = true")
	s := b.startServer("n1", "auth")
	c := b.dial()
	b.checkEqual("features", c.nextElement(), "features")
	fmt.Fprint(c, authElement)
	waitForStage(t, s, "auth")
	b.setNode("n1", s, "Terminating")
	b.checkEqual("stream in SASL whose server starts to drain", c.readToEnd(), "[reset end]")
	b.checkEqual("new stream while the only server drains", b.dial().readToEnd(),
		"[resource-constraint+retry-after end]")
}

// One server is killed, one goes silent, one drains during SASL, and the relay shuts down. Each stream must
// still get exactly one outcome.
func TestXMPPEveryStreamHasOneOutcome(t *testing.T) {
	b := newXMPPFixture(t, "plaintext = true")
	servers := []*fake.XMPP{
		b.startServer("n1", ""), b.startServer("n2", ""),
		b.startServer("n3", "auth"), b.startServer("n4", ""),
	}
	var all sync.WaitGroup
	var mu sync.Mutex
	outcomes := map[string]int{}
	ready := make(chan bool, 40)
	for range 40 {
		c := b.dial()
		all.Go(func() {
			first := c.nextElement()
			ready <- true
			if first == "features" {
				fmt.Fprint(c, authElement)
				if c.nextElement() == "success" {
					c.openStream()
					fmt.Fprint(c, "<message id='m'/>")
				}
			}
			if len(c.received) == 0 || c.received[len(c.received)-1] != "end" {
				c.readToEnd()
			}
			finals := 0
			for _, n := range c.received {
				switch strings.TrimSuffix(n, "+retry-after") {
				case "reset", "remote-connection-failed", "connection-timeout", "resource-constraint":
					finals++
				}
			}
			mu.Lock()
			defer mu.Unlock()
			if finals != 1 {
				t.Errorf("stream with other than one outcome: got elements %v", c.received)
			}
			outcomes[c.received[len(c.received)-1]]++
		})
	}
	for range 40 {
		<-ready
	}
	servers[0].Kill()
	servers[1].SetSilent()
	b.setNode("n3", servers[2], "Terminating")
	all.Go(func() { shutDownFront(b.front) })
	all.Wait()
	t.Log(outcomes)
}

func TestXMPPStartTLS(t *testing.T) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	cert := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		DNSNames:     []string{"alerts.example"},
		NotAfter:     time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, cert, cert, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	secret, _ := x509.MarshalECPrivateKey(key)
	dir := t.TempDir()
	for name, block := range map[string]*pem.Block{
		"c": {Type: "CERTIFICATE", Bytes: der},
		"k": {Type: "EC PRIVATE KEY", Bytes: secret},
	} {
		if err := os.WriteFile(filepath.Join(dir, name), pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	b := newXMPPFixture(
		t, fmt.Sprintf("certificate = %q\nkey = %q", filepath.Join(dir, "c"), filepath.Join(dir, "k")),
	)
	s := b.startServer("n1", "")
	plain := b.dial()
	b.checkEqual("features", plain.nextElement(), "features")
	fmt.Fprint(plain, authElement)
	b.checkEqual("SASL without TLS", plain.readToEnd(), "[policy-violation end]")
	c := b.dial()
	b.checkEqual("features", c.nextElement(), "features")
	fmt.Fprint(c, "<starttls xmlns='urn:ietf:params:xml:ns:xmpp-tls'/>")
	b.checkEqual("answer", c.nextElement(), "proceed")
	secure := tls.Client(c.Conn, &tls.Config{InsecureSkipVerify: true})
	c.Conn = secure
	c.openStream()
	b.checkEqual("set-up over TLS", c.setUpStream(), "up")
	s.Kill()
	b.checkEqual("stream over TLS whose server was killed", c.readToEnd(), "[remote-connection-failed end]")
}

// After its ZooKeeper session has expired, the relay reads the complete list again, so that servers that have
// disappeared meanwhile are removed.
func TestXMPPSessionExpires(t *testing.T) {
	b := newXMPPFixture(t, "plaintext = true")
	old := b.startServer("n1", "")
	b.checkEqual("set-up", b.dial().setUpStream(), "up")
	b.zk.ExpireSessions()
	b.zk.SetNode("n1", "")
	b.startServer("n2", "")
	old.Kill()
	b.checkEqual("set-up at the new server", b.dial().setUpStream(), "up")
	b.zk.SetNode("bad", "no JSON")
	b.startServer("n3", "")
}

// A reload can change to another ZooKeeper ensemble. Open streams continue, new streams go to the servers
// listed there, and servers that are not listed there are removed. A file that is rejected changes nothing,
// and the error names the key.
func TestXMPPReload(t *testing.T) {
	b := newXMPPFixture(t, "plaintext = true")
	b.startServer("n1", "")
	c := b.dial()
	b.checkEqual("set-up", c.setUpStream(), "up")
	other, err := fake.NewZooKeeper("/alerts")
	if err != nil {
		t.Fatal(err)
	}
	reload := func(text []byte) error {
		if err := os.WriteFile(b.configPath, text, 0o600); err != nil {
			t.Fatal(err)
		}
		return b.front.reload()
	}
	for key, text := range map[string]string{
		"session_ms":        strings.Replace(xmppConfigText, "3000", "'soon'", 1),
		"zookeeper.servers": strings.Replace(xmppConfigText, `servers = ["%s"]`, "", 1) + "#%s",
		"certificate": strings.Replace(
			xmppConfigText, "%s", "certificate = 'none'\nkey = 'none'\n#%s", 1,
		),
	} {
		err := reload(fmt.Appendf(nil, text, "plaintext = true", other.Address))
		if err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("reload with a bad %s: got error %v, want one that names the key", key, err)
		}
	}
	b.checkEqual("stream at the old server", b.dial().setUpStream(), "up")
	if err := reload(fmt.Appendf(nil, xmppConfigText, "plaintext = true", other.Address)); err != nil {
		t.Fatal(err)
	}
	b.zk = other
	b.startServer("n2", "")
	for i := 0; ; i++ { // n1 may get streams until the new list has arrived
		if !b.front.requests.ServerReady("n1") {
			break
		}
		if i > 1000 {
			t.Fatal("server n1, which the new ensemble does not list, is still ready after 5 s")
		}
		time.Sleep(5 * time.Millisecond)
	}
	b.checkEqual("stream at the new server", b.dial().setUpStream(), "up")
	fmt.Fprint(c, "<message id='m1' to='x'/>")
	b.checkEqual("echo on the stream opened before the reload", c.nextElement(), "message m1")
}
