package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"
)

// startOnInheritedSocket starts the program on a listening socket that the test holds, as the platform does
// on upgrade days: descriptor 3, named by LB_FD. Binding the address again would fail.
func startOnInheritedSocket(
	t *testing.T, config string, l *net.TCPListener, env ...string,
) (*exec.Cmd, string, <-chan string) {
	t.Helper()
	f, err := l.File()
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	cmd := relayCommand(t, config)
	cmd.ExtraFiles = []*os.File{f}
	cmd.Env = append(cmd.Env, append(env, "LB_FD=3")...)
	cmd, address, messages := startCommand(t, cmd)
	// exec made the shared socket blocking; the platform leaves it as the relay set it.
	setSocketBlocking(t, l, false)
	// Read on, whether the test looks or not: a full pipe would stop the program.
	logs := make(chan string, 1<<16)
	go func() {
		defer close(logs)
		for line := range messages {
			select {
			case logs <- line:
			default:
			}
		}
	}()
	return cmd, address, logs
}

// setSocketBlocking makes the socket, as all processes share it, blocking or not.
func setSocketBlocking(t *testing.T, l *net.TCPListener, blocking bool) {
	t.Helper()
	raw, err := l.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	raw.Control(func(fd uintptr) { syscall.SetNonblock(int(fd), !blocking) })
}

// newInheritableSocket is a listening socket held as the platform holds it, and a configuration for relays on it
// that know one server.
func newInheritableSocket(t *testing.T) (*net.TCPListener, string) {
	t.Helper()
	d, _ := newDiscoveryWithServer(t, "s1")
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l, writeConfig(t, func(c map[string]any) {
		c["listen"], c["discovery"] = l.Addr().String(), d.Address
		c["known"] = json.RawMessage(d.Snapshot())
	})
}

// An upgrade: two processes serve one socket; at SIGTERM the old one migrates its connections and stops
// accepting, and not one connection that comes meanwhile is rejected.
func TestUpgradeOnInheritedSocketLosesNoConnection(t *testing.T) {
	l, config := newInheritableSocket(t)
	old, _, _ := startOnInheritedSocket(t, config, l)
	c := dial(t, l.Addr().String())
	c.sendAndExpect(t, "PING", "PONG")
	c.sendAndExpect(t, openLine, "UP")

	next, _, _ := startOnInheritedSocket(t, config, l)
	if err := old.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	exited := make(chan error, 1)
	go func() { exited <- old.Wait() }()
	moved := make(chan string, 1)
	go func() {
		got, _ := c.in.ReadString('\n')
		moved <- strings.TrimSpace(got)
	}()
	for i := 0; ; i++ {
		select {
		case err := <-exited:
			if err != nil {
				t.Errorf("the old process ended with %v", err)
			}
			if got := <-moved; got != "MOVE" {
				t.Errorf("the old process's client was told %q", got)
			}
			k := dial(t, l.Addr().String())
			k.sendAndExpect(t, "PING", "PONG")
			k.sendAndExpect(t, strings.Replace(openLine, "9b1f", "after", 1), "UP")
			next.Process.Signal(syscall.SIGTERM)
			if err := next.Wait(); err != nil {
				t.Errorf("the new process ended with %v", err)
			}
			return
		default:
		}
		dial(t, l.Addr().String()).sendAndExpect(t, "PING", "PONG") // whoever takes it answers
		time.Sleep(10 * time.Millisecond)
		if i > 2000 {
			t.Fatal("the old process does not leave")
		}
	}
}

// Whoever else holds the socket has made it blocking, so that an accept of the relay's waits in the kernel: a
// relay that leaves takes no connection any more all the same. Guards against a connection that an old process
// accepts as it exits, and nobody answers.
func TestShutdownAcceptsNoConnectionOnABlockingSocket(t *testing.T) {
	l, config := newInheritableSocket(t)
	old, _, _ := startOnInheritedSocket(t, config, l)
	setSocketBlocking(t, l, true)
	dial(t, l.Addr().String()).sendAndExpect(t, "PING", "PONG") // the accept after this one blocks
	if err := old.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	time.Sleep(500 * time.Millisecond) // it has stopped accepting
	setSocketBlocking(t, l, false)
	dial(t, l.Addr().String())
	l.SetDeadline(time.Now().Add(5 * time.Second))
	conn, err := l.Accept()
	if err != nil {
		t.Fatalf("the connection went to the relay that leaves: %v", err)
	}
	conn.Close()
	if err := old.Wait(); err != nil {
		t.Errorf("the old process ended with %v", err)
	}
}

// callAdmin makes one call to the admin address and returns its status and body.
func callAdmin(t *testing.T, method, url string) (int, string) {
	t.Helper()
	req, _ := http.NewRequestWithContext(t.Context(), method, url, nil)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	body, _ := io.ReadAll(res.Body)
	return res.StatusCode, string(body)
}

// expectMetrics fails the test if one of the lines is not among the metrics of the admin address.
func expectMetrics(t *testing.T, ops string, lines ...string) {
	t.Helper()
	_, metrics := callAdmin(t, "GET", ops+"/ops/stats")
	for _, want := range lines {
		if !strings.Contains(metrics, want+"\n") {
			t.Errorf("no %q in the metrics:\n%s", want, metrics)
		}
	}
}

// awaitReady waits until the admin address answers readiness with yes; it listens just after the clients'
// address.
func awaitReady(t *testing.T, address string) {
	t.Helper()
	for i := 0; ; i++ {
		if res, err := http.Get("http://" + address + "/ops/readiness"); err == nil {
			res.Body.Close()
			if res.StatusCode == 200 {
				return
			}
		}
		if i > 1000 {
			t.Fatal("never ready")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// freeAddress is a loopback address that nobody listens on just now.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// The admin address: readiness, a manual drain and its end, a server ejected manually and back, the metrics.
func TestAdminAddressDrainsEjectsAndReports(t *testing.T) {
	d, s := newDiscoveryWithServer(t, "s1")
	ops := "http://" + freeAddress(t)
	cmd := relayCommand(t, writeConfig(t, func(c map[string]any) {
		c["listen"], c["discovery"] = "127.0.0.1:0", d.Address
		c["known"] = json.RawMessage(d.Snapshot())
	}))
	cmd.Env = append(cmd.Env, "LB_ADMIN="+strings.TrimPrefix(ops, "http://"), "TMPDIR="+t.TempDir())
	cmd, address, _ := startCommand(t, cmd)
	defer cmd.Process.Kill()
	awaitReady(t, strings.TrimPrefix(ops, "http://"))
	c := dial(t, address)
	c.sendAndExpect(t, openLine, "UP")
	<-s.FirstLines

	if code, _ := callAdmin(t, "POST", ops+"/ops/drain/start"); code != 200 {
		t.Fatalf("drain: %d", code)
	}
	if code, _ := callAdmin(t, "GET", ops+"/ops/readiness"); code < 400 {
		t.Errorf("ready while draining: %d", code)
	}
	dial(t, address).sendAndExpect(t, "PING", "BUSY")
	if got, _ := c.in.ReadString('\n'); strings.TrimSpace(got) != "MOVE" {
		t.Errorf("in a drain the client was told %q", got)
	}
	callAdmin(t, "POST", ops+"/ops/drain/stop")
	if code, _ := callAdmin(t, "GET", ops+"/ops/readiness"); code != 200 {
		t.Errorf("not ready after the drain: %d", code)
	}
	dial(t, address).sendAndExpect(t, "PING", "PONG")

	if code, _ := callAdmin(t, "POST", ops+"/ops/tile-servers/down/nobody"); code != 404 {
		t.Errorf("a ban of an id never listed: %d", code)
	}
	if code, _ := callAdmin(t, "POST", ops+"/ops/tile-servers/down/s1"); code != 200 {
		t.Errorf("down: %d", code)
	}
	// The class's only server is ejected.
	dial(t, address).sendAndExpect(t, strings.Replace(openLine, "9b1f", "out", 1), "BUSY")
	expectMetrics(t, ops,
		"relay_cluster_unhealthy 1",
		`relay_answered{group="map-stream"} 1`,
		"relay_cluster_size 1")
	if code, _ := callAdmin(t, "POST", ops+"/ops/tile-servers/up/s1"); code != 200 {
		t.Errorf("up: %d", code)
	}
	dial(t, address).sendAndExpect(t, strings.Replace(openLine, "9b1f", "back", 1), "UP")
	expectMetrics(t, ops,
		`relay_deferred{group="map-stream"} 1`,
		`relay_sends{group="map-stream"} 2`,
		"relay_current 1")

	s.Close() // listed still, and dead: the relay avoids it by its own choice once it has met that
	for i := 0; ; i++ {
		fmt.Fprintf(dial(t, address), "OPEN dead%d 7f3a c=map-stream,t=acme,d=2000\r\n", i)
		time.Sleep(100 * time.Millisecond)
		_, figures := callAdmin(t, "GET", ops+"/ops/stats")
		if strings.Contains(figures, "relay_cluster_unhealthy 1\n") {
			break
		}
		if i == 100 {
			t.Fatalf("a dead server is not counted as avoided:\n%s", figures)
		}
	}
}

// Both processes of an upgrade keep one set of manual ejections: one made at either holds at the other, and
// over the end of the one that made it.
func TestManualEjectionsSurviveUpgrade(t *testing.T) {
	l, config := newInheritableSocket(t)
	shared := "TMPDIR=" + t.TempDir()
	first, second := freeAddress(t), freeAddress(t)
	old, _, _ := startOnInheritedSocket(t, config, l, shared, "LB_ADMIN="+first)
	defer old.Process.Kill()
	next, _, _ := startOnInheritedSocket(t, config, l, shared, "LB_ADMIN="+second)
	defer next.Process.Kill()
	awaitReady(t, first)
	awaitReady(t, second)
	if code, _ := callAdmin(t, "POST", "http://"+first+"/ops/tile-servers/down/s1"); code != 200 {
		t.Fatalf("down: %d", code)
	}
	old.Process.Signal(syscall.SIGTERM)
	if err := old.Wait(); err != nil {
		t.Errorf("the old process ended with %v", err)
	}
	// The old one may have taken some before it left; now the new one alone answers.
	for i := 0; ; i++ {
		c := dial(t, l.Addr().String())
		fmt.Fprintf(c, "OPEN out%d 7f3a c=map-stream,t=acme,d=2000\r\n", i)
		got, _ := c.in.ReadString('\n')
		if strings.HasPrefix(got, "UP") {
			t.Fatal("a server out by hand at the other process is sent a connection")
		}
		if i == 20 {
			break
		}
	}
	if code, _ := callAdmin(t, "POST", "http://"+second+"/ops/tile-servers/up/s1"); code != 200 {
		t.Errorf("up: %d", code)
	}
	dial(t, l.Addr().String()).sendAndExpect(t, strings.Replace(openLine, "9b1f", "back", 1), "UP")
}

// Readiness waits for an endpoint list: without one in the configuration, and with discovery out of reach,
// the process serves but says no.
func TestNotReadyWithoutEndpointList(t *testing.T) {
	ops := freeAddress(t)
	cmd := relayCommand(t, writeConfig(t, func(c map[string]any) {
		c["listen"], c["discovery"], c["admin"] = "127.0.0.1:0", freeAddress(t), ops
		delete(c, "known")
	}))
	cmd.Env = append(cmd.Env, "TMPDIR="+t.TempDir())
	cmd, _, messages := startCommand(t, cmd)
	defer cmd.Process.Kill()
	for line := range messages {
		if strings.HasPrefix(line, "admin address serving") {
			break
		}
	}
	if code, _ := callAdmin(t, "GET", "http://"+ops+"/ops/readiness"); code != 503 {
		t.Errorf("ready without a list: %d", code)
	}
}
