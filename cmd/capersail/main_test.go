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

// TestMain runs the program itself, in place of the tests, if CAPERSAIL_RUN is 1: tests start the test binary
// as the program.
func TestMain(m *testing.M) {
	if os.Getenv("CAPERSAIL_RUN") == "1" {
		main()
		return
	}
	os.Exit(m.Run())
}

// writeConfig writes the example configuration, changed by change, to a file and returns the file's path.
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

// relayCommand returns a command that runs the program with a configuration. It does not start the command.
func relayCommand(t *testing.T, config string) *exec.Cmd {
	t.Helper()
	cmd := exec.CommandContext(t.Context(), os.Args[0])
	cmd.Env = append(os.Environ(), "CAPERSAIL_RUN=1", "LB_CONFIG="+config)
	return cmd
}

// client is a client's connection to the relay.
type client struct {
	net.Conn
	in *bufio.Reader
}

// dial connects to a relay. The connection has a deadline of 30 s and is closed when the test ends.
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
		t.Fatalf("line %q: got answer %q, error %v; want %s", line, got, err, want)
	}
}

const openLine = "OPEN 9b1f 7f3a c=map-stream,t=acme,d=2000"

type logLine struct{ Message, Listen, Error string }

// forEachLogLine reads a program's log to its end and calls each with every line that is JSON.
func forEachLogLine(logs io.Reader, each func(logLine)) {
	for lines := bufio.NewScanner(logs); lines.Scan(); {
		var l logLine
		if json.Unmarshal(lines.Bytes(), &l) == nil {
			each(l)
		}
	}
}

// startRelay starts the program and returns its command, its address and a channel of the messages that it
// logs, each with its error.
func startRelay(t *testing.T, config string) (*exec.Cmd, string, <-chan string) {
	t.Helper()
	return startCommand(t, relayCommand(t, config))
}

// startCommand starts the program by a prepared command. It returns the same as startRelay.
func startCommand(t *testing.T, cmd *exec.Cmd) (*exec.Cmd, string, <-chan string) {
	t.Helper()
	return startCommandWith(t, cmd, func(*os.Process) {})
}

// startCommandWith does the same as startCommand, and calls disturb with the process as soon as it is
// started.
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
		t.Fatal("the program exited before it logged that it serves")
	}
	return cmd, served, messages
}

// newDiscoveryWithServer starts a discovery service and a server that is listed as ready.
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

// The program serves clients over its sockets, sends no new connection to a draining server, and on SIGTERM
// migrates every connection and exits with code 0.
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
		t.Errorf("first line at the server: got %q, want OPEN with the client's fields and a deadline", first)
	}
	dial(t, address).sendAndExpect(t, "nonsense", "ERR")

	d.Set("s1", s.Address, "Terminating")
	// After the watch event has arrived, no new connection goes to the server, and open connections stay.
	for i := 0; ; i++ {
		k := dial(t, address)
		fmt.Fprintf(k, "OPEN d%d 7f3a c=map-stream,t=acme,d=2000\r\n", i)
		if got, _ := k.in.ReadString('\n'); strings.HasPrefix(got, "BUSY") {
			break
		}
		if i > 1000 {
			t.Fatal("a draining server still gets new connections after 1000 requests")
		}
		k.Close()
	}
	c.sendAndExpect(t, "M 2 still here", "M")

	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	got, err := c.in.ReadString('\n')
	if strings.TrimSpace(got) != "MOVE" {
		t.Errorf("client at SIGTERM: got %q, error %v; want MOVE", got, err)
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("program after SIGTERM: exited with %v, want no error", err)
	}
}

// On SIGHUP the program follows another discovery service and keeps open connections; an invalid file changes
// nothing. No SIGHUP ends the program, even during a shutdown by SIGTERM.
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
					t.Errorf("reload of %.40q: got log %q, want %q", text, line, want)
				}
				return
			}
		}
		t.Fatal("the program exited without a log message about the reload")
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
	for i := 0; len(s2.FirstLines) == 0; i++ { // until the watch event has arrived
		if i > 2000 {
			t.Fatal("no connection at the new discovery's server after 2000 requests")
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
		t.Errorf("program after SIGTERM and SIGHUP: exited with %v, want no error", err)
	}
}

// An invalid configuration gives a message of one line that names the key, and exit code 1.
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
			t.Errorf("invalid %s: got %v, output %q; want exit code 1 and one line", key, err, out)
		}
	}
}
