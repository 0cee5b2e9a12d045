package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"capersail/internal/testing/fake"
)

// TestMain lets the test binary stand for the program itself.
func TestMain(m *testing.M) {
	if os.Getenv("CAPERSAIL_RUN") == "1" {
		main()
		return
	}
	os.Exit(m.Run())
}

// writeConfig writes the example's configuration with other addresses.
func writeConfig(t *testing.T, change func(map[string]any)) string {
	t.Helper()
	text, err := os.ReadFile("../../examples/config.json")
	if err != nil {
		t.Fatal(err)
	}
	var c map[string]any
	if err := json.Unmarshal(text, &c); err != nil {
		t.Fatal(err)
	}
	change(c)
	text, _ = json.Marshal(c)
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// relayCommand is the program with a configuration, not started yet.
func relayCommand(t *testing.T, config string) *exec.Cmd {
	t.Helper()
	cmd := exec.CommandContext(t.Context(), os.Args[0])
	cmd.Env = append(os.Environ(), "CAPERSAIL_RUN=1", "LB_CONFIG="+config)
	return cmd
}

// client is a connection of a client of the relay.
type client struct {
	net.Conn
	in *bufio.Reader
}

// dial connects to a relay. The connection is closed when the test ends, and fails after 30 s.
func dial(t *testing.T, address string) *client {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(30 * time.Second))
	return &client{conn, bufio.NewReader(conn)}
}

// sendAndExpect sends a line and fails the test unless the first word of the answer is want.
func (c *client) sendAndExpect(t *testing.T, line, want string) {
	t.Helper()
	fmt.Fprint(c, line+"\r\n")
	got, err := c.in.ReadString('\n')
	if first, _, _ := strings.Cut(strings.TrimSpace(got), " "); first != want {
		t.Fatalf("%q was answered %q, %v; want %s", line, got, err, want)
	}
}

const openLine = "OPEN 9b1f 7f3a c=map-stream,t=acme,d=2000"

type logLine struct{ Message, Listen, Error string }

// forEachLogLine reads a program's log to its end.
func forEachLogLine(logs io.Reader, each func(logLine)) {
	for lines := bufio.NewScanner(logs); lines.Scan(); {
		var l logLine
		if json.Unmarshal(lines.Bytes(), &l) == nil {
			each(l)
		}
	}
}

// startRelay starts the program and returns its address and, as they come, the messages it logs with their
// errors.
func startRelay(t *testing.T, config string) (*exec.Cmd, string, <-chan string) {
	t.Helper()
	return startCommand(t, relayCommand(t, config))
}

// startCommand starts a program that is set up; as startRelay.
func startCommand(t *testing.T, cmd *exec.Cmd) (*exec.Cmd, string, <-chan string) {
	t.Helper()
	return startCommandWith(t, cmd, func(*os.Process) {})
}

// startCommandWith is startCommand with something that is done to the process as soon as there is one.
func startCommandWith(
	t *testing.T, cmd *exec.Cmd, disturb func(*os.Process),
) (*exec.Cmd, string, <-chan string) {
	t.Helper()
	logs, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	disturb(cmd.Process)
	messages, address := make(chan string, 1024), make(chan string, 1)
	go func() {
		defer close(messages)
		served := false
		forEachLogLine(logs, func(l logLine) {
			if l.Message == "serving" && !served {
				served = true
				address <- l.Listen
			}
			messages <- l.Message + ": " + l.Error
		})
		if !served {
			close(address)
		}
	}()
	served, ok := <-address
	if !ok {
		t.Fatal("the program ended before it served")
	}
	return cmd, served, messages
}

// newDiscoveryWithServer is a discovery service that knows one server.
func newDiscoveryWithServer(t *testing.T, id string) (*fake.Discovery, *fake.EchoServer) {
	t.Helper()
	d, err := fake.NewDiscovery("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s, err := fake.NewEchoServer("127.0.0.1:0", "UP")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	d.Set(id, s.Address, "Ready")
	return d, s
}

// The program on its sockets: it serves, follows a server's drain, and at SIGTERM migrates every connection
// and exits in order.
func TestServesAndShutsDownGracefully(t *testing.T) {
	d, s := newDiscoveryWithServer(t, "s1")
	cmd, address, _ := startRelay(t, writeConfig(t, func(c map[string]any) {
		c["listen"], c["discovery"] = "127.0.0.1:0", d.Address
		c["known"] = json.RawMessage(d.Snapshot())
	}))
	c := dial(t, address)
	c.sendAndExpect(t, "PING", "PONG")
	c.sendAndExpect(t, openLine, "UP")
	c.sendAndExpect(t, "M 1 hello", "M")
	if first := <-s.FirstLines; !strings.HasPrefix(first, "OPEN 9b1f 7f3a c=map-stream,t=acme,d=") {
		t.Errorf("the server was sent %q", first)
	}
	dial(t, address).sendAndExpect(t, "nonsense", "ERR")

	d.Set("s1", s.Address, "Terminating")
	// The watch event takes its time; then nothing new goes there, and what is open stays.
	for i := 0; ; i++ {
		k := dial(t, address)
		fmt.Fprintf(k, "OPEN d%d 7f3a c=map-stream,t=acme,d=2000\r\n", i)
		if got, _ := k.in.ReadString('\n'); strings.HasPrefix(got, "BUSY") {
			break
		}
		if i > 1000 {
			t.Fatal("a draining server is still sent connections")
		}
		k.Close()
	}
	c.sendAndExpect(t, "M 2 still here", "M")

	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	got, err := c.in.ReadString('\n')
	if strings.TrimSpace(got) != "MOVE" {
		t.Errorf("at SIGTERM the client was told %q, %v", got, err)
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("the program ended with %v", err)
	}
}

// SIGHUP: another discovery is followed while connections stand, a file that cannot be used changes nothing,
// and no SIGHUP ends the program, not even one on top of SIGTERM.
func TestReloadKeepsConnections(t *testing.T) {
	old, s1 := newDiscoveryWithServer(t, "s1")
	next, s2 := newDiscoveryWithServer(t, "s2")
	path := writeConfig(t, func(c map[string]any) {
		c["listen"], c["discovery"] = "127.0.0.1:0", old.Address
		c["known"] = json.RawMessage(old.Snapshot())
	})
	cmd, address, messages := startRelay(t, path)
	reload := func(text []byte, want string) {
		t.Helper()
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
		if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		for line := range messages {
			if strings.HasPrefix(line, "reloaded") || strings.HasPrefix(line, "new configuration rejected") {
				if !strings.Contains(line, want) {
					t.Errorf("%.40q: %q, want %q", text, line, want)
				}
				return
			}
		}
		t.Fatal("the program has ended")
	}
	c := dial(t, address)
	c.sendAndExpect(t, openLine, "UP")
	<-s1.FirstLines
	good, _ := os.ReadFile(path)
	reload(nil, "LB_CONFIG: ")
	reload([]byte(strings.Replace(string(good), old.Address, "nowhere", 1)), "discovery: ")
	k := dial(t, address)
	k.sendAndExpect(t, strings.Replace(openLine, "9b1f", "9b20", 1), "UP")
	<-s1.FirstLines
	reload([]byte(strings.Replace(string(good), old.Address, next.Address, 1)), "reloaded")
	for i := 0; len(s2.FirstLines) == 0; i++ { // the watch event takes its time
		if i > 2000 {
			t.Fatal("the new discovery is not followed")
		}
		fmt.Fprintf(dial(t, address), "OPEN r%d 7f3a c=map-stream,t=acme,d=2000\r\n", i)
		time.Sleep(5 * time.Millisecond)
	}
	c.sendAndExpect(t, "M 1 still here", "M")
	cmd.Process.Signal(syscall.SIGTERM)
	for line := range messages {
		if strings.HasPrefix(line, "draining") {
			cmd.Process.Signal(syscall.SIGHUP)
			break
		}
	}
	go func() {
		for range messages {
			cmd.Process.Signal(syscall.SIGHUP)
		}
	}()
	if err := cmd.Wait(); err != nil {
		t.Errorf("the program ended with %v", err)
	}
}

// Bad configuration: one plain message that names the key, and exit 1.
func TestBadConfigurationNamesTheKey(t *testing.T) {
	limits := func(name string, value any) func(map[string]any) {
		return func(c map[string]any) { c["limits"] = map[string]any{name: value} }
	}
	for key, change := range map[string]func(map[string]any){
		"listen":                         func(c map[string]any) { c["listen"] = "nowhere" },
		"discovery":                      func(c map[string]any) { c["discovery"] = 7 },
		"seed":                           func(c map[string]any) { c["seed"] = "no number" },
		"limits.sockets":                 limits("sockets", -1),
		"limits.sockets: 40 are too few": limits("sockets", 40),
		"limits.memory_mb":               limits("memory_mb", "64"),
		"settings":                       func(c map[string]any) { delete(c, "settings") },
		"settings.classes":               func(c map[string]any) { c["settings"] = map[string]any{} },
		"known": func(c map[string]any) {
			c["known"] = map[string]any{"instances": 7}
		},
	} {
		out, err := relayCommand(t, writeConfig(t, change)).CombinedOutput()
		exit, ok := err.(*exec.ExitError)
		named := strings.HasPrefix(string(out), "capersail: "+key+": ")
		if !ok || exit.ExitCode() != 1 || !named || strings.Count(string(out), "\n") != 1 {
			t.Errorf("%s: %v, %q", key, err, out)
		}
	}
}
