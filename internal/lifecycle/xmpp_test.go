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
	"fmt"
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

// xmppFixture is the XMPP front with stand-ins for all it speaks to.
type xmppFixture struct {
	t          *testing.T
	zk         *fake.ZooKeeper
	address    string
	front      *runningFront
	configPath string // of the operator's file
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
	o, err := ReadXMPPConfig(path)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	r, err := startXMPP(ctx, Sources{XMPP: path}, o, nil, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { r.listener.Close() })
	return &xmppFixture{t, zk, r.listener.Addr().String(), r, path}
}

// startServer starts an XMPP startServer with a node of its own, and waits until the relay has read that.
func (b *xmppFixture) startServer(name, hold string) *fake.XMPP {
	s, err := fake.NewXMPP(hold)
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(s.Kill)
	b.setNode(name, s, "Ready")
	for i := 0; ; i++ {
		if _, ok := b.front.requests.Server(name); ok {
			return s
		}
		if i > 1000 {
			b.t.Fatal("the relay does not read the node")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (b *xmppFixture) setNode(name string, s *fake.XMPP, lifecycle string) {
	b.zk.SetNode(name, fmt.Sprintf(`{"address":%q,"lifecycle":%q,"zone":"a"}`, s.Address, lifecycle))
}

// client is an XMPP client whose reads are by encoding/xml.
type client struct {
	net.Conn
	d        *xml.Decoder
	received []string // names of what came at the stream's first level, errors with their conditions and ids
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

// nextElement returns the nextElement first-level element's name, "end" for a stream that was closed in
// order, or "broken". A stream error is named by its condition, a bounced stanza by its id.
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

// readToEnd reads to the end and returns what came.
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

// setUpStream sets the stream setUpStream and returns "setUpStream", or what came instead.
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
		b.t.Errorf("%s: %v, want %v", what, got, want)
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
		t.Fatalf("the server never saw %q", want)
	}
}

func TestXMPPServesAndRefuses(t *testing.T) {
	b := newXMPPFixture(t, "plaintext = true")
	b.checkEqual("no server is listed", b.dial().readToEnd(), "[resource-constraint+retry-after end]")
	s := b.startServer("n1", "")
	c := b.dial()
	b.checkEqual("set-up", c.setUpStream(), "up")
	fmt.Fprint(c, "<message id='m1' to='x'><body>a</body></message><message id='m2'/>")
	b.checkEqual("echo", c.nextElement()+c.nextElement(), "message m1message m2")
	fmt.Fprint(c, "</stream:stream>")
	b.checkEqual("an orderly end", c.readToEnd(), "[end]")
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

// Until SASL bytes reach a server, a lost attempt is made again elsewhere and the client notices nothing.
func TestXMPPRetriesBeforeSASL(t *testing.T) {
	b := newXMPPFixture(t, "plaintext = true")
	dead := b.startServer("n1", "header")
	c := b.dial()
	waitForStage(t, dead, "header") // a probe or the attempt: both are held there
	b.startServer("n2", "")
	dead.Kill()
	if got := c.setUpStream(); got != "up" && got != "resource-constraint+retry-after" {
		t.Errorf("the stream got %q", got)
	}
	for range 3 {
		b.checkEqual("the next streams", b.dial().setUpStream(), "up")
	}
}

func TestXMPPKilledServer(t *testing.T) {
	b := newXMPPFixture(t, "plaintext = true")
	s := b.startServer("n1", "")
	c := b.dial()
	b.checkEqual("set-up", c.setUpStream(), "up")
	s.Kill()
	b.checkEqual("its server was killed", c.readToEnd(), "[remote-connection-failed end]")
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

// Stanzas that a silent server has not confirmed come back as errors, each once.
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
		t.Fatalf("the stream ended with %v", got)
	}
	got = got[:len(got)-2]
	// What is beyond the queue was never taken from the socket.
	if len(got) < 64 || !slices.Equal(got, want[:len(got)]) {
		t.Errorf("bounced %v", got)
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
	b.checkEqual("its server began to drain", c.readToEnd(), "[reset end]")
	b.checkEqual("and gets nothing new", b.dial().readToEnd(), "[resource-constraint+retry-after end]")
}

// Streams on three servers, of which one is killed, one goes silent and one drains in the middle of SASL,
// and a relay that leaves: every stream has exactly one outcome.
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
				t.Errorf("a stream saw %v", c.received)
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
	b.checkEqual("set-up under TLS", c.setUpStream(), "up")
	s.Kill()
	b.checkEqual("end under TLS", c.readToEnd(), "[remote-connection-failed end]")
}

// After its session has expired the relay reads the complete list again: what vanished meanwhile is gone.
func TestXMPPSessionExpires(t *testing.T) {
	b := newXMPPFixture(t, "plaintext = true")
	old := b.startServer("n1", "")
	b.checkEqual("set-up", b.dial().setUpStream(), "up")
	b.zk.ExpireSessions()
	b.zk.SetNode("n1", "")
	b.startServer("n2", "")
	old.Kill()
	b.checkEqual("set-up at the new one", b.dial().setUpStream(), "up")
	b.zk.SetNode("bad", "no JSON")
	b.startServer("n3", "")
}

// A reload follows another service of ephemeral nodes: the streams that stand live on, new ones go to its
// servers, and what it does not list is gone. A file that cannot be used changes nothing, and the error names
// its key.
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
			t.Errorf("%s: %v", key, err)
		}
	}
	b.checkEqual("a stream at the old server", b.dial().setUpStream(), "up")
	if err := reload(fmt.Appendf(nil, xmppConfigText, "plaintext = true", other.Address)); err != nil {
		t.Fatal(err)
	}
	b.zk = other
	b.startServer("n2", "")
	for i := 0; ; i++ { // until the new list has come n1 may still be given streams
		if !b.front.requests.ServerReady("n1") {
			break
		}
		if i > 1000 {
			t.Fatal("what the new service does not list is kept")
		}
		time.Sleep(5 * time.Millisecond)
	}
	b.checkEqual("a stream at the new server", b.dial().setUpStream(), "up")
	fmt.Fprint(c, "<message id='m1' to='x'/>")
	b.checkEqual("the old stream lives on", c.nextElement(), "message m1")
}
