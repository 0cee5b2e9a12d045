package overload

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"capersail/internal/testing/fake"
)

// memoryLimitMB is the largest memory limit of a relay on the platform's scored days (DEPLOY, Limits).
const memoryLimitMB = 192

// program is the path of the relay's program, which TestMain builds without the race detector: that
// multiplies the memory of a process.
var program string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "overload")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	program = filepath.Join(dir, "capersail")
	build := exec.Command("go", "build", "-o", program, "./cmd/capersail")
	build.Dir = "../../.."
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintln(os.Stderr, err, string(out))
		return 1
	}
	return m.Run()
}

// relayProcess is a relay with both fronts, the admin address and a control socket, and what it is connected
// to.
type relayProcess struct {
	t       testing.TB
	command *exec.Cmd

	platform, xmpp, admin, control string // addresses

	xmppServer *fake.XMPP
}

const xmppConfig = `listen = "127.0.0.1:0"
plaintext = true
zone = "hall-a"
zones = ["hall-a"]
sockets = 1024
silent_ms = 5000
connect_ms = 1000
max_retry_after_ms = 5000
[zookeeper]
servers = [%q]
path = "/servers"
session_ms = 6000
[[class]]
name = "alerts"
setup_ms = 1000
deadline_ms = 8000
[[host]]
to = "alerts.example"
class = "alerts"
`

// startRelay starts a relay with the limits of a scored day and one server of each front.
func startRelay(t testing.TB) *relayProcess {
	dir := t.TempDir()
	r := &relayProcess{t: t, control: filepath.Join(dir, "control.sock")}
	discovery, err := fake.NewDiscovery("127.0.0.1:0")
	r.check(err)
	server, err := fake.NewEchoServer("127.0.0.1:0", "UP")
	r.check(err)
	t.Cleanup(server.Close)
	go drain(server.FirstLines)
	discovery.Set("s1", server.Address, "Ready")
	zooKeeper, err := fake.NewZooKeeper("/servers")
	r.check(err)
	r.xmppServer, err = fake.NewXMPP("")
	r.check(err)
	t.Cleanup(r.xmppServer.Kill)
	go drain(r.xmppServer.Stages)
	node := fmt.Sprintf(`{"address":%q,"lifecycle":"Ready","zone":"hall-a"}`, r.xmppServer.Address)
	zooKeeper.SetNode("x1", node)

	write := func(name string, text []byte) string {
		path := filepath.Join(dir, name)
		r.check(os.WriteFile(path, text, 0o600))
		return path
	}
	config := write("config.json", r.platformConfig(discovery))
	xmpp := write("xmpp.toml", fmt.Appendf(nil, xmppConfig, zooKeeper.Address))
	timeline := write("timeline.toml", fmt.Appendf(nil, "socket = %q\n", r.control))
	r.command = exec.Command(program, "--xmpp", xmpp, "--timeline", timeline)
	r.command.Env = append(os.Environ(), "LB_CONFIG="+config, "TMPDIR="+dir)
	logs, err := r.command.StderrPipe()
	r.check(err)
	r.check(r.command.Start())
	t.Cleanup(func() {
		r.command.Process.Kill()
		r.command.Wait()
	})
	r.readAddresses(logs)
	return r
}

func (r *relayProcess) check(err error) {
	r.t.Helper()
	if err != nil {
		r.t.Fatal(err)
	}
}

func drain(c <-chan string) {
	for range c {
	}
}

// platformConfig returns the platform's configuration: the example's, with a memory limit and an admin
// address.
func (r *relayProcess) platformConfig(discovery *fake.Discovery) []byte {
	text, err := os.ReadFile("../../../examples/config.json")
	r.check(err)
	var config map[string]any
	r.check(json.Unmarshal(text, &config))
	config["listen"], config["admin"], config["discovery"] = "127.0.0.1:0", "127.0.0.1:0", discovery.Address
	config["known"] = json.RawMessage(discovery.Snapshot())
	config["limits"] = map[string]any{"cores": 1, "memory_mb": memoryLimitMB, "sockets": 1024}
	text, err = json.Marshal(config)
	r.check(err)
	return text
}

// readAddresses reads the log until all addresses are known, and discards the rest of it.
func (r *relayProcess) readAddresses(logs io.Reader) {
	lines, last := bufio.NewScanner(logs), ""
	for r.platform == "" || r.xmpp == "" || r.admin == "" {
		if !lines.Scan() {
			r.t.Fatalf("the relay ended before it served all its addresses: %s", last)
		}
		last = lines.Text()
		var line struct{ Message, Listen, Admin string }
		if json.Unmarshal(lines.Bytes(), &line) != nil {
			continue
		}
		switch line.Message {
		case "serving":
			r.platform = line.Listen
		case "serving XMPP":
			r.xmpp = line.Listen
		case "admin address serving":
			r.admin = line.Admin
		}
	}
	go io.Copy(io.Discard, logs)
}

// peakMemoryMB returns the largest resident memory that the process has had so far.
func (r *relayProcess) peakMemoryMB() float64 {
	r.t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.command.Process.Pid))
	r.check(err)
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "VmHWM:" {
			kilobytes, err := strconv.ParseFloat(fields[1], 64)
			r.check(err)
			return kilobytes / 1024
		}
	}
	r.t.Fatal("the process has no VmHWM: it has ended")
	return 0
}

// processorTime returns the processor time that the process has used.
func (r *relayProcess) processorTime() time.Duration {
	r.t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", r.command.Process.Pid))
	r.check(err)
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	const userField, systemField, ticksPerSecond = 11, 12, 100
	user, _ := strconv.Atoi(fields[userField])
	system, _ := strconv.Atoi(fields[systemField])
	return time.Duration(user+system) * time.Second / ticksPerSecond
}

// running reports whether the process has not ended.
func (r *relayProcess) running() bool { return r.command.Process.Signal(syscall.Signal(0)) == nil }
