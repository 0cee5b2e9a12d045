package capacity

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"capersail/internal/command"
	"capersail/internal/testing/fake"
)

const (
	runAsRelayEnv = "CAPERSAIL_CAPACITY_RELAY" // set where the test binary stands for the program
	tickHertz     = 100                        // of the times in /proc/PID/stat
	waitTimeout   = 60 * time.Second
)

// longRun reports whether the sizes of the page are to be measured, and not CI's.
func isLongRun() bool { return os.Getenv("CAPERSAIL_LONG") == "1" }

// TestMain has the test binary be the program itself where the environment asks for it. It then writes its
// heap to standard output at each SIGUSR1.
func TestMain(m *testing.M) {
	if os.Getenv(runAsRelayEnv) != "1" {
		os.Exit(m.Run())
	}
	caught := make(chan os.Signal, 8)
	signal.Notify(caught, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	wanted := make(chan os.Signal, 1)
	signal.Notify(wanted, syscall.SIGUSR1)
	go func() {
		for range wanted {
			var figures runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&figures)
			json.NewEncoder(os.Stdout).Encode(heapFigures{
				Heap:       figures.HeapAlloc,
				Stack:      figures.StackInuse,
				Goroutines: runtime.NumGoroutine(),
			})
		}
	}()
	os.Exit(command.Main(os.Args[1:], &command.Program{
		In:      os.Stdin,
		Out:     os.Stdout,
		Err:     os.Stderr,
		Getenv:  os.Getenv,
		Signals: caught,
	}))
}

// heapFigures are a relay's after a garbage collection, in bytes.
type heapFigures struct {
	Heap       uint64
	Stack      uint64
	Goroutines int
}

// relayProcess is the program, started for a test.
type relayProcess struct {
	t           *testing.T
	pid         int
	address     string
	admin       string
	heapReports *json.Decoder
	log         *logCounter
	cmd         *exec.Cmd
	ended       chan struct{} // its log has ended
}

// logCounter counts the bytes and lines of a log, and finds the relay's addresses in it.
type logCounter struct {
	sync.Mutex
	bytes      int
	lines      int
	otherLines []string          // lines that are not JSON, as a data race is reported
	addresses  map[string]string // by key: listen and admin
	ready      chan struct{}     // closed once both addresses are known
}

// follow reads a log to its end.
func (l *logCounter) follow(in io.Reader) {
	for lines := bufio.NewScanner(in); lines.Scan(); {
		var line struct{ Message, Listen, Admin string }
		err := json.Unmarshal(lines.Bytes(), &line)
		l.Lock()
		if err != nil {
			l.otherLines = append(l.otherLines, lines.Text())
		}
		l.bytes += len(lines.Bytes()) + 1
		l.lines++
		l.setAddress("listen", line.Listen)
		l.setAddress("admin", line.Admin)
		l.Unlock()
	}
}

// setAddress records an address that a line has, the first time. The caller holds the lock.
func (l *logCounter) setAddress(key, address string) {
	if _, known := l.addresses[key]; known || address == "" {
		return
	}
	l.addresses[key] = address
	if len(l.addresses) == 2 {
		close(l.ready)
	}
}

// count returns how many bytes and lines have come.
func (l *logCounter) count() (size, lines int) {
	l.Lock()
	defer l.Unlock()
	return l.bytes, l.lines
}

// startRelay starts the program on loopback, with more arguments, and ends it with the test.
func startRelay(t *testing.T, discovery *fake.Discovery, more ...string) *relayProcess {
	t.Helper()
	cmd := exec.CommandContext(t.Context(), os.Args[0], more...)
	config := writeConfig(t, discovery)
	cmd.Env = append(os.Environ(), runAsRelayEnv+"=1", "LB_CONFIG="+config, "TMPDIR="+t.TempDir())
	r := &relayProcess{
		t:     t,
		log:   &logCounter{addresses: map[string]string{}, ready: make(chan struct{})},
		cmd:   cmd,
		ended: make(chan struct{}),
	}
	logs, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	figures, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	r.pid = cmd.Process.Pid
	r.heapReports = json.NewDecoder(figures)
	go func() {
		r.log.follow(logs)
		close(r.ended)
	}()
	t.Cleanup(r.stop)
	select {
	case <-r.log.ready:
	case <-r.ended:
		t.Fatal("the relay ended before it served")
	case <-time.After(waitTimeout):
		t.Fatal("the relay does not serve")
	}
	r.address = r.log.addresses["listen"]
	r.admin = r.log.addresses["admin"]
	return r
}

// writeConfig writes the example's configuration, with the servers that a discovery has, and returns its
// path.
func writeConfig(t *testing.T, discovery *fake.Discovery) string {
	t.Helper()
	text, err := os.ReadFile("../../../examples/config.json")
	if err != nil {
		t.Fatal(err)
	}
	var config map[string]any
	if err := json.Unmarshal(text, &config); err != nil {
		t.Fatal(err)
	}
	config["listen"] = "127.0.0.1:0"
	config["admin"] = "127.0.0.1:0"
	config["discovery"] = discovery.Address
	config["known"] = json.RawMessage(discovery.Snapshot())
	config["limits"] = map[string]any{"cores": 1, "memory_mb": 2048, "sockets": 19_000}
	text, err = json.Marshal(config)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// stop kills the relay, and checks that its log had nothing but log lines.
func (r *relayProcess) stop() {
	r.cmd.Process.Kill()
	<-r.ended
	r.cmd.Wait()
	if len(r.log.otherLines) > 0 {
		r.t.Errorf("the relay wrote what is no log line:\n%s", strings.Join(r.log.otherLines, "\n"))
	}
}

// collectHeap has the relay collect garbage, and returns its heap and stacks.
func (r *relayProcess) collectHeap() (h heapFigures) {
	r.t.Helper()
	if err := syscall.Kill(r.pid, syscall.SIGUSR1); err != nil {
		r.t.Fatal(err)
	}
	if err := r.heapReports.Decode(&h); err != nil {
		r.t.Fatal(err)
	}
	return h
}

// readProc reads a file of the relay's process in /proc.
func (r *relayProcess) readProc(name string) string {
	r.t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", r.pid, name))
	if err != nil {
		r.t.Fatal(err)
	}
	return string(text)
}

// residentBytes is the relay's resident memory, in bytes.
func (r *relayProcess) residentBytes() float64 {
	r.t.Helper()
	_, rest, _ := strings.Cut(r.readProc("status"), "VmRSS:")
	var kilobytes float64
	fmt.Sscan(rest, &kilobytes)
	return kilobytes * 1024
}

// descriptorCount returns how many file descriptors the relay has open.
func (r *relayProcess) descriptorCount() int {
	r.t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", r.pid))
	if err != nil {
		r.t.Fatal(err)
	}
	return len(entries)
}

// processorTime returns the time that the relay has computed, in its own code and in the kernel.
func (r *relayProcess) processorTime() time.Duration {
	r.t.Helper()
	text := r.readProc("stat")
	fields := strings.Fields(text[strings.LastIndexByte(text, ')')+1:])
	var ticks float64
	for _, field := range fields[11:13] { // utime and stime are the 14th and 15th of all
		n, _ := strconv.ParseFloat(field, 64)
		ticks += n
	}
	return time.Duration(ticks / tickHertz * float64(time.Second))
}

// echoServer answers probes, accepts every connection, and returns every line. It allocates less than
// fake.EchoServer.
type echoServer struct {
	address string

	mu          sync.Mutex
	connections []net.Conn // accepted ones
}

// broadcast sends a line on every accepted connection, one after the other.
func (s *echoServer) broadcast(line []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range s.connections {
		if _, err := conn.Write(line); err != nil {
			return err
		}
	}
	return nil
}

// startEchoServer starts a server that ends with the test.
func startEchoServer(t *testing.T) *echoServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	s := &echoServer{address: l.Addr().String()}
	go s.accept(l)
	return s
}

func (s *echoServer) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go s.serve(conn)
	}
}

func (s *echoServer) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReaderSize(conn, 512)
	for up := false; ; {
		line, err := in.ReadSlice('\n')
		if err != nil {
			return
		}
		switch {
		case up:
		case bytes.HasPrefix(line, []byte("STATS")), bytes.HasPrefix(line, []byte("PING")):
			line = []byte("PONG x0=0.2,qps=3,queue=0\r\n")
		default:
			up = true
			line = []byte("UP 1\r\n")
			s.mu.Lock()
			s.connections = append(s.connections, conn)
			s.mu.Unlock()
		}
		if _, err := conn.Write(line); err != nil {
			return
		}
	}
}

// startDiscovery starts a discovery that lists some servers, the first so many of which run.
func startDiscovery(t *testing.T, listed, running int) *fake.Discovery {
	t.Helper()
	d, _ := startServers(t, listed, running)
	return d
}

// startServers is startDiscovery, and returns the servers that run.
func startServers(t *testing.T, listed, running int) (d *fake.Discovery, all []*echoServer) {
	t.Helper()
	d, err := fake.NewDiscovery("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	for i := range listed {
		address := "127.0.0.1:1"
		if i < running {
			all = append(all, startEchoServer(t))
			address = all[i].address
		}
		d.Set(fmt.Sprint("s", i), address, "Ready")
	}
	return d, all
}
