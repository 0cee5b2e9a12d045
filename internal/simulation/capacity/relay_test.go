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
	runAsRelayEnv = "CAPERSAIL_CAPACITY_RELAY" // set for a process of the test binary that runs as the relay
	tickHertz     = 100                        // clock ticks a second in /proc/PID/stat
	waitTimeout   = 60 * time.Second
)

// isLongRun reports whether to measure the sizes of the page instead of the smaller ones of CI.
func isLongRun() bool { return os.Getenv("CAPERSAIL_LONG") == "1" }

// TestMain runs the test binary as the relay itself if runAsRelayEnv is set. The relay then writes its heap
// figures to standard output at each SIGUSR1.
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

// heapFigures are the memory of a relay after a garbage collection, in bytes, and its goroutines.
type heapFigures struct {
	Heap       uint64
	Stack      uint64
	Goroutines int
}

// relayProcess is the program in a process of its own, started for a test.
type relayProcess struct {
	t           *testing.T
	pid         int
	address     string
	admin       string
	heapReports *json.Decoder
	log         *logCounter
	cmd         *exec.Cmd
	ended       chan struct{} // closed when the relay's log has ended
}

// logCounter counts the bytes and lines of a relay's log, and finds the relay's addresses in it.
type logCounter struct {
	sync.Mutex
	bytes      int
	lines      int
	otherLines []string          // lines that are not JSON, such as reports of data races
	addresses  map[string]string // by log field: listen and admin
	ready      chan struct{}     // closed when both addresses are known
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

// setAddress records the first address that the log has for a key. The caller holds the lock.
func (l *logCounter) setAddress(key, address string) {
	if _, known := l.addresses[key]; known || address == "" {
		return
	}
	l.addresses[key] = address
	if len(l.addresses) == 2 {
		close(l.ready)
	}
}

// count returns the number of bytes and lines read so far.
func (l *logCounter) count() (size, lines int) {
	l.Lock()
	defer l.Unlock()
	return l.bytes, l.lines
}

// startRelay starts the program on loopback with additional arguments, and stops it at the end of the test.
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
		t.Fatal("the relay process ended before it logged its addresses")
	case <-time.After(waitTimeout):
		t.Fatal("the relay did not log its addresses within 60 s")
	}
	r.address = r.log.addresses["listen"]
	r.admin = r.log.addresses["admin"]
	return r
}

// writeConfig writes the example configuration with the servers of a discovery, and returns its path.
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

// stop kills the relay, and checks that all it wrote to its log were JSON lines.
func (r *relayProcess) stop() {
	r.cmd.Process.Kill()
	<-r.ended
	r.cmd.Wait()
	if len(r.log.otherLines) > 0 {
		r.t.Errorf("the relay's log has lines that are not JSON:\n%s", strings.Join(r.log.otherLines, "\n"))
	}
}

// collectHeap has the relay collect garbage, and returns its memory figures.
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

// residentBytes returns the relay's resident memory in bytes.
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

// processorTime returns the relay's user and system CPU time.
func (r *relayProcess) processorTime() time.Duration {
	r.t.Helper()
	text := r.readProc("stat")
	fields := strings.Fields(text[strings.LastIndexByte(text, ')')+1:])
	var ticks float64
	for _, field := range fields[11:13] { // utime and stime, fields 14 and 15 of the file
		n, _ := strconv.ParseFloat(field, 64)
		ticks += n
	}
	return time.Duration(ticks / tickHertz * float64(time.Second))
}

// echoServer is a server that answers probes, accepts every connection and echoes every line. It allocates
// less than fake.EchoServer.
type echoServer struct {
	address string

	mu          sync.Mutex
	connections []net.Conn // accepted connections
}

// broadcast sends a line on each accepted connection, one after the other.
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

// startEchoServer starts a server that stops at the end of the test.
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

// startDiscovery starts a discovery that lists some servers, and starts the first running of them.
func startDiscovery(t *testing.T, listed, running int) *fake.Discovery {
	t.Helper()
	d, _ := startServers(t, listed, running)
	return d
}

// startServers does the same as startDiscovery, and also returns the servers that are running.
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
