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

// xmppBench is the XMPP front with stand-ins for all it speaks to.
type xmppBench struct {
	t       *testing.T
	zk      *fake.ZooKeeper
	address string
	relay   *runningFront
	path    string // of the operator's file
}

const operatorText = `listen = "127.0.0.1:0"
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

func newXMPPBench(t *testing.T, security string) *xmppBench {
	zk, err := fake.NewZooKeeper("/alerts")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "xmpp.toml")
	if err := os.WriteFile(path, fmt.Appendf(nil, operatorText, security, zk.Address), 0o600); err != nil {
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
	return &xmppBench{t, zk, r.listener.Addr().String(), r, path}
}

// server starts an XMPP server with a node of its own, and waits until the relay has read that.
func (b *xmppBench) server(name, hold string) *fake.XMPP {
	s, err := fake.NewXMPP(hold)
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(s.Kill)
	b.node(name, s, "Ready")
	for i := 0; ; i++ {
		if _, ok := b.relay.requests.Server(name); ok {
			return s
		}
		if i > 1000 {
			b.t.Fatal("the relay does not read the node")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (b *xmppBench) node(name string, s *fake.XMPP, lifecycle string) {
	b.zk.SetNode(name, fmt.Sprintf(`{"address":%q,"lifecycle":%q,"zone":"a"}`, s.Address, lifecycle))
}

// client is an XMPP client whose reads are by encoding/xml.
type client struct {
	net.Conn
	d    *xml.Decoder
	seen []string // names of what came at the stream's first level, errors with their conditions and ids
}

const startStream = "<?xml version='1.0'?>" +
	"<stream:stream to='alerts.example' version='1.0' xmlns='jabber:client' " +
	"xmlns:stream='http://etherx.jabber.org/streams'>"

func (b *xmppBench) dial() *client {
	conn, err := net.Dial("tcp", b.address)
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(func() { conn.Close() })
	c := &client{Conn: conn}
	c.restart()
	return c
}

func (c *client) restart() {
	c.SetDeadline(time.Now().Add(30 * time.Second))
	c.d = xml.NewDecoder(c)
	fmt.Fprint(c, startStream)
}

// next returns the next first-level element's name, "end" for a stream that was closed in order, or
// "broken". A stream error is named by its condition, a bounced stanza by its id.
func (c *client) next() string {
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
		c.seen = append(c.seen, name)
		return name
	}
}

// rest reads to the end and returns what came.
func (c *client) rest() (all []string) {
	for {
		n := c.next()
		all = append(all, n)
		if n == "end" || n == "broken" {
			return all
		}
	}
}

const auth = "<auth xmlns='urn:ietf:params:xml:ns:xmpp-sasl' mechanism='PLAIN'>AGEAYg==</auth>"

// up sets the stream up and returns "up", or what came instead.
func (c *client) up() string {
	if n := c.next(); n != "features" {
		return n
	}
	fmt.Fprint(c, auth)
	if n := c.next(); n != "success" {
		return n
	}
	c.restart()
	if n := c.next(); n != "features" {
		return n
	}
	return "up"
}

func (b *xmppBench) want(what string, got, want any) {
	b.t.Helper()
	if fmt.Sprint(got) != fmt.Sprint(want) {
		b.t.Errorf("%s: %v, want %v", what, got, want)
	}
}

func await(t *testing.T, s *fake.XMPP, want string) {
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
	b := newXMPPBench(t, "plaintext = true")
	b.want("no server is listed", b.dial().rest(), "[resource-constraint+retry-after end]")
	s := b.server("n1", "")
	c := b.dial()
	b.want("set-up", c.up(), "up")
	fmt.Fprint(c, "<message id='m1' to='x'><body>a</body></message><message id='m2'/>")
	b.want("echo", c.next()+c.next(), "message m1message m2")
	fmt.Fprint(c, "</stream:stream>")
	b.want("an orderly end", c.rest(), "[end]")
	for what, c := range map[string]struct{ send, want string }{
		"unknown host":  {strings.Replace(startStream, "alerts", "else", 1), "host-unknown"},
		"document type": {"<!DOCTYPE x>", "restricted-xml"},
		"instruction":   {"<?php x?>", "restricted-xml"},
		"not a stream":  {"<a></b>", "bad-format"},
		"other version": {
			strings.Replace(startStream, "1.0' xmlns", "0.9' xmlns", 1), "unsupported-version",
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
		b.want(what, k.rest()[0], c.want)
		conn.Close()
	}
	s.Kill()
}

// Until SASL bytes reach a server, a lost attempt is made again elsewhere and the client notices nothing.
func TestXMPPRetriesBeforeSASL(t *testing.T) {
	b := newXMPPBench(t, "plaintext = true")
	dead := b.server("n1", "header")
	c := b.dial()
	await(t, dead, "header") // a probe or the attempt: both are held there
	b.server("n2", "")
	dead.Kill()
	if got := c.up(); got != "up" && got != "resource-constraint+retry-after" {
		t.Errorf("the stream got %q", got)
	}
	for range 3 {
		b.want("the next streams", b.dial().up(), "up")
	}
}

func TestXMPPKilledServer(t *testing.T) {
	b := newXMPPBench(t, "plaintext = true")
	s := b.server("n1", "")
	c := b.dial()
	b.want("set-up", c.up(), "up")
	s.Kill()
	b.want("its server was killed", c.rest(), "[remote-connection-failed end]")
}

func TestXMPPKilledMidSASL(t *testing.T) {
	b := newXMPPBench(t, "plaintext = true")
	s := b.server("n1", "auth")
	c := b.dial()
	b.want("features", c.next(), "features")
	fmt.Fprint(c, auth)
	await(t, s, "auth")
	s.Kill()
	b.want("nothing is repeated once SASL bytes are out", c.rest(), "[remote-connection-failed end]")
}

// Stanzas that a silent server has not confirmed come back as errors, each once.
func TestXMPPSilentServer(t *testing.T) {
	b := newXMPPBench(t, "plaintext = true")
	s := b.server("n1", "")
	c := b.dial()
	b.want("set-up", c.up(), "up")
	s.SetSilent()
	var want []string
	for i := range 150 {
		fmt.Fprintf(c, "<message id='m%d' to='x'/>", i)
		want = append(want, fmt.Sprintf("bounced m%d", i))
	}
	got := c.rest()
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
	b := newXMPPBench(t, "plaintext = true")
	s := b.server("n1", "auth")
	c := b.dial()
	b.want("features", c.next(), "features")
	fmt.Fprint(c, auth)
	await(t, s, "auth")
	b.node("n1", s, "Terminating")
	b.want("its server began to drain", c.rest(), "[reset end]")
	b.want("and gets nothing new", b.dial().rest(), "[resource-constraint+retry-after end]")
}

// Streams on three servers, of which one is killed, one goes silent and one drains in the middle of SASL,
// and a relay that leaves: every stream has exactly one outcome.
func TestXMPPEveryStreamHasOneOutcome(t *testing.T) {
	b := newXMPPBench(t, "plaintext = true")
	servers := []*fake.XMPP{
		b.server("n1", ""), b.server("n2", ""), b.server("n3", "auth"), b.server("n4", ""),
	}
	var all sync.WaitGroup
	var mu sync.Mutex
	outcomes := map[string]int{}
	ready := make(chan bool, 40)
	for range 40 {
		c := b.dial()
		all.Go(func() {
			first := c.next()
			ready <- true
			if first == "features" {
				fmt.Fprint(c, auth)
				if c.next() == "success" {
					c.restart()
					fmt.Fprint(c, "<message id='m'/>")
				}
			}
			if len(c.seen) == 0 || c.seen[len(c.seen)-1] != "end" {
				c.rest()
			}
			finals := 0
			for _, n := range c.seen {
				switch strings.TrimSuffix(n, "+retry-after") {
				case "reset", "remote-connection-failed", "connection-timeout", "resource-constraint":
					finals++
				}
			}
			mu.Lock()
			defer mu.Unlock()
			if finals != 1 {
				t.Errorf("a stream saw %v", c.seen)
			}
			outcomes[c.seen[len(c.seen)-1]]++
		})
	}
	for range 40 {
		<-ready
	}
	servers[0].Kill()
	servers[1].SetSilent()
	b.node("n3", servers[2], "Terminating")
	all.Go(func() { shutDownFront(b.relay) })
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
	b := newXMPPBench(
		t, fmt.Sprintf("certificate = %q\nkey = %q", filepath.Join(dir, "c"), filepath.Join(dir, "k")),
	)
	s := b.server("n1", "")
	plain := b.dial()
	b.want("features", plain.next(), "features")
	fmt.Fprint(plain, auth)
	b.want("SASL without TLS", plain.rest(), "[policy-violation end]")
	c := b.dial()
	b.want("features", c.next(), "features")
	fmt.Fprint(c, "<starttls xmlns='urn:ietf:params:xml:ns:xmpp-tls'/>")
	b.want("answer", c.next(), "proceed")
	secure := tls.Client(c.Conn, &tls.Config{InsecureSkipVerify: true})
	c.Conn = secure
	c.restart()
	b.want("set-up under TLS", c.up(), "up")
	s.Kill()
	b.want("end under TLS", c.rest(), "[remote-connection-failed end]")
}

// After its session has expired the relay reads the complete list again: what vanished meanwhile is gone.
func TestXMPPSessionExpires(t *testing.T) {
	b := newXMPPBench(t, "plaintext = true")
	old := b.server("n1", "")
	b.want("set-up", b.dial().up(), "up")
	b.zk.ExpireSessions()
	b.zk.SetNode("n1", "")
	b.server("n2", "")
	old.Kill()
	b.want("set-up at the new one", b.dial().up(), "up")
	b.zk.SetNode("bad", "no JSON")
	b.server("n3", "")
}

// A reload follows another service of ephemeral nodes: the streams that stand live on, new ones go to its
// servers, and what it does not list is gone. A file that cannot be used changes nothing, and the error names
// its key.
func TestXMPPReload(t *testing.T) {
	b := newXMPPBench(t, "plaintext = true")
	b.server("n1", "")
	c := b.dial()
	b.want("set-up", c.up(), "up")
	other, err := fake.NewZooKeeper("/alerts")
	if err != nil {
		t.Fatal(err)
	}
	reload := func(text []byte) error {
		if err := os.WriteFile(b.path, text, 0o600); err != nil {
			t.Fatal(err)
		}
		return b.relay.reload()
	}
	for key, text := range map[string]string{
		"session_ms":        strings.Replace(operatorText, "3000", "'soon'", 1),
		"zookeeper.servers": strings.Replace(operatorText, `servers = ["%s"]`, "", 1) + "#%s",
		"certificate": strings.Replace(
			operatorText, "%s", "certificate = 'none'\nkey = 'none'\n#%s", 1,
		),
	} {
		err := reload(fmt.Appendf(nil, text, "plaintext = true", other.Address))
		if err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("%s: %v", key, err)
		}
	}
	b.want("a stream at the old server", b.dial().up(), "up")
	if err := reload(fmt.Appendf(nil, operatorText, "plaintext = true", other.Address)); err != nil {
		t.Fatal(err)
	}
	b.zk = other
	b.server("n2", "")
	for i := 0; ; i++ { // until the new list has come n1 may still be given streams
		if !b.relay.requests.ServerReady("n1") {
			break
		}
		if i > 1000 {
			t.Fatal("what the new service does not list is kept")
		}
		time.Sleep(5 * time.Millisecond)
	}
	b.want("a stream at the new server", b.dial().up(), "up")
	fmt.Fprint(c, "<message id='m1' to='x'/>")
	b.want("the old stream lives on", c.next(), "message m1")
}
