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
// for an upgrade: the socket is descriptor 3, given by LB_FD. Binding the address again would fail.
func startOnInheritedSocket(
	t *testing.T, config string, l *net.TCPListener, env ...string,
) (*exec.Cmd, string, <-chan string) {
	t.Helper()
	cmd := relayCommand(t, config)
	cmd.Env = append(cmd.Env, env...)
	return startWithSocket(t, cmd, l)
}

// startWithSocket starts a command of the program on a listening socket that the test holds.
func startWithSocket(t *testing.T, cmd *exec.Cmd, l *net.TCPListener) (*exec.Cmd, string, <-chan string) {
	t.Helper()
	f, err := l.File()
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	cmd.ExtraFiles = []*os.File{f}
	cmd.Env = append(cmd.Env, "LB_FD=3")
	cmd, address, messages := startCommand(t, cmd)
	// exec made the shared socket blocking; the platform leaves it non-blocking, as the relay sets it.
	setSocketBlocking(t, l, false)
	// Read the messages even if the test does not: a full pipe would block the program.
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

// setSocketBlocking makes the socket blocking or non-blocking for all processes that share it.
func setSocketBlocking(t *testing.T, l *net.TCPListener, blocking bool) {
	t.Helper()
	raw, err := l.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	raw.Control(func(fd uintptr) { syscall.SetNonblock(int(fd), !blocking) })
}

// newInheritableSocket returns a listening socket, held by the test as the platform holds it, and the path of
// a configuration for relays on it, with one server.
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

// In an upgrade two processes serve one socket. On SIGTERM the old process migrates its connections and stops
// accepting, and no connection that a client opens meanwhile is rejected.
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
				t.Errorf("old process after SIGTERM: exited with %v, want no error", err)
			}
			if got := <-moved; got != "MOVE" {
				t.Errorf("client of the old process: got %q, want MOVE", got)
			}
			k := dial(t, l.Addr().String())
			k.sendAndExpect(t, "PING", "PONG")
			k.sendAndExpect(t, strings.Replace(openLine, "9b1f", "after", 1), "UP")
			next.Process.Signal(syscall.SIGTERM)
			if err := next.Wait(); err != nil {
				t.Errorf("new process after SIGTERM: exited with %v, want no error", err)
			}
			return
		default:
		}
		dial(t, l.Addr().String()).sendAndExpect(t, "PING", "PONG") // either process may answer
		time.Sleep(10 * time.Millisecond)
		if i > 2000 {
			t.Fatal("the old process did not exit after SIGTERM")
		}
	}
}

// While the process is replaced, a client that sends the id of a request that is open at the old process must
// not be served by either process: the request would be at two servers at once.
func TestUpgradeServesNoIDTwice(t *testing.T) {
	l, config := newInheritableSocket(t)
	dir := "TMPDIR=" + t.TempDir()
	old, _, _ := startOnInheritedSocket(t, config, l, dir)
	c := dial(t, l.Addr().String())
	c.sendAndExpect(t, openLine, "UP")
	startOnInheritedSocket(t, config, l, dir)
	const tries = 20
	sendAgain := func() {
		t.Helper()
		for range tries {
			dial(t, l.Addr().String()).sendAndExpect(t, openLine, "ERR")
		}
	}
	sendAgain() // either process accepts
	old.Process.Signal(syscall.SIGTERM)
	sendAgain()
	if got, err := c.in.ReadString('\n'); strings.TrimSpace(got) != "MOVE" {
		t.Errorf("client of the old process: got %q, error %v; want MOVE", got, err)
	}
	old.Wait()
}

// Another process that shares the socket has made it blocking, so that the relay's accept call waits in the
// kernel. Even so, a relay that shuts down accepts no further connection. Guards against a connection that an
// old process accepts while it exits and that no process answers.
func TestShutdownAcceptsNoConnectionOnABlockingSocket(t *testing.T) {
	l, config := newInheritableSocket(t)
	old, _, _ := startOnInheritedSocket(t, config, l)
	setSocketBlocking(t, l, true)
	dial(t, l.Addr().String()).sendAndExpect(t, "PING", "PONG") // the accept after this one blocks
	if err := old.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	time.Sleep(500 * time.Millisecond) // by then it has stopped accepting
	setSocketBlocking(t, l, false)
	dial(t, l.Addr().String())
	l.SetDeadline(time.Now().Add(5 * time.Second))
	conn, err := l.Accept()
	if err != nil {
		t.Fatalf("connection after SIGTERM: accepted by the relay that shuts down: %v", err)
	}
	conn.Close()
	if err := old.Wait(); err != nil {
		t.Errorf("old process after SIGTERM: exited with %v, want no error", err)
	}
}

// callAdmin sends one request to the admin address and returns the status and the body of the answer.
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

// expectMetrics fails the test if one of the lines is missing from the metrics of the admin address.
func expectMetrics(t *testing.T, ops string, lines ...string) {
	t.Helper()
	_, metrics := callAdmin(t, "GET", ops+"/ops/stats")
	for _, want := range lines {
		if !strings.Contains(metrics, want+"\n") {
			t.Errorf("metrics: got no line %q in:\n%s", want, metrics)
		}
	}
}

// awaitReady waits until the admin address reports readiness. The relay opens it shortly after the clients'
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
			t.Fatal("GET /ops/readiness: no status 200 after 1000 attempts")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// freeAddress returns a loopback address on which no process listens at the moment.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// The admin address reports readiness and metrics, starts and stops a manual drain, and ejects a server
// manually and takes it back.
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
		t.Fatalf("POST drain/start: got status %d, want 200", code)
	}
	if code, _ := callAdmin(t, "GET", ops+"/ops/readiness"); code < 400 {
		t.Errorf("readiness in a drain: got status %d, want 400 or above", code)
	}
	dial(t, address).sendAndExpect(t, "PING", "BUSY")
	if got, _ := c.in.ReadString('\n'); strings.TrimSpace(got) != "MOVE" {
		t.Errorf("client in a drain: got %q, want MOVE", got)
	}
	callAdmin(t, "POST", ops+"/ops/drain/stop")
	if code, _ := callAdmin(t, "GET", ops+"/ops/readiness"); code != 200 {
		t.Errorf("readiness after the drain: got status %d, want 200", code)
	}
	dial(t, address).sendAndExpect(t, "PING", "PONG")

	if code, _ := callAdmin(t, "POST", ops+"/ops/tile-servers/down/nobody"); code != 404 {
		t.Errorf("ejecting a server that was never listed: got status %d, want 404", code)
	}
	if code, _ := callAdmin(t, "POST", ops+"/ops/tile-servers/down/s1"); code != 200 {
		t.Errorf("ejecting s1: got status %d, want 200", code)
	}
	// The class's only server is ejected.
	dial(t, address).sendAndExpect(t, strings.Replace(openLine, "9b1f", "out", 1), "BUSY")
	expectMetrics(t, ops,
		"relay_cluster_unhealthy 1",
		`relay_answered{group="map-stream"} 1`,
		"relay_cluster_size 1")
	if code, _ := callAdmin(t, "POST", ops+"/ops/tile-servers/up/s1"); code != 200 {
		t.Errorf("taking s1 back: got status %d, want 200", code)
	}
	dial(t, address).sendAndExpect(t, strings.Replace(openLine, "9b1f", "back", 1), "UP")
	expectMetrics(t, ops,
		`relay_deferred{group="map-stream"} 1`,
		`relay_sends{group="map-stream"} 2`,
		"relay_current 1")

	s.Close() // it is dead but still listed: the relay ejects it by itself after failed attempts
	for i := 0; ; i++ {
		fmt.Fprintf(dial(t, address), "OPEN dead%d 7f3a c=map-stream,t=acme,d=2000\r\n", i)
		time.Sleep(100 * time.Millisecond)
		_, figures := callAdmin(t, "GET", ops+"/ops/stats")
		if strings.Contains(figures, "relay_cluster_unhealthy 1\n") {
			break
		}
		if i == 100 {
			t.Fatalf("metrics: got no relay_cluster_unhealthy 1 for a dead server in:\n%s", figures)
		}
	}
}

// Both processes of an upgrade share one set of manual ejections: an ejection made at one process holds at
// the other, also after the first has exited.
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
		t.Fatalf("ejecting s1 at the old process: got status %d, want 200", code)
	}
	old.Process.Signal(syscall.SIGTERM)
	if err := old.Wait(); err != nil {
		t.Errorf("old process after SIGTERM: exited with %v, want no error", err)
	}
	// The old process has exited: only the new one answers.
	for i := 0; ; i++ {
		c := dial(t, l.Addr().String())
		fmt.Fprintf(c, "OPEN out%d 7f3a c=map-stream,t=acme,d=2000\r\n", i)
		got, _ := c.in.ReadString('\n')
		if strings.HasPrefix(got, "UP") {
			t.Fatal("a server ejected manually at the old process gets a connection from the new one")
		}
		if i == 20 {
			break
		}
	}
	if code, _ := callAdmin(t, "POST", "http://"+second+"/ops/tile-servers/up/s1"); code != 200 {
		t.Errorf("taking s1 back at the new process: got status %d, want 200", code)
	}
	dial(t, l.Addr().String()).sendAndExpect(t, strings.Replace(openLine, "9b1f", "back", 1), "UP")
}

// Without an endpoint list the process serves but is not ready: here the configuration has no list, and
// discovery is unreachable.
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
		t.Errorf("readiness without an endpoint list: got status %d, want 503", code)
	}
}
