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
	runAsRelay = "CAPERSAIL_CAPACITY_RELAY" // set where the test binary stands for the program
	tickHertz  = 100                        // of the times in /proc/PID/stat
	patience   = 60 * time.Second
)

// long tells whether the sizes of the page are to be measured, and not CI's.
func long() bool { return os.Getenv("CAPERSAIL_LONG") == "1" }

// TestMain lets the test binary stand for the program itself. On SIGUSR1 it then tells its heap, on standard output.
func TestMain(m *testing.M) {
	if os.Getenv(runAsRelay) != "1" {
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
			json.NewEncoder(os.Stdout).Encode(heapFigures{Heap: figures.HeapAlloc, Stack: figures.StackInuse, Goroutines: runtime.NumGoroutine()})
		}
	}()
	os.Exit(command.Main(os.Args[1:], &command.Program{In: os.Stdin, Out: os.Stdout, Err: os.Stderr, Getenv: os.Getenv, Signals: caught}))
}

// heapFigures are a relay's, after a collection.
type heapFigures struct {
	Heap       uint64
	Stack      uint64
	Goroutines int
}

// relayProcess is the program, started for a test.
type relayProcess struct {
	t       *testing.T
	pid     int
	address string
	admin   string
	heap    *json.Decoder
	log     *countedLog
	cmd     *exec.Cmd
	ended   chan struct{} // its log has ended
}

// countedLog counts the bytes of a log and looks for the addresses in it.
type countedLog struct {
	sync.Mutex
	bytes int
	lines int
	other []string // lines that are none of the log's, as a data race is told
	found map[string]string
	ready chan struct{}
}

func (l *countedLog) follow(in io.Reader) {
	for lines := bufio.NewScanner(in); lines.Scan(); {
		var line struct{ Message, Listen, Admin string }
		err := json.Unmarshal(lines.Bytes(), &line)
		l.Lock()
		if err != nil {
			l.other = append(l.other, lines.Text())
		}
		l.bytes += len(lines.Bytes()) + 1
		l.lines++
		for key, value := range map[string]string{"listen": line.Listen, "admin": line.Admin} {
			if _, known := l.found[key]; value != "" && !known {
				if l.found[key] = value; len(l.found) == 2 {
					close(l.ready)
				}
			}
		}
		l.Unlock()
	}
}

// count is how many bytes and lines have come.
func (l *countedLog) count() (size, lines int) {
	l.Lock()
	defer l.Unlock()
	return l.bytes, l.lines
}

// startRelay starts the program on loopback with a list of servers. It is ended with the test.
func startRelay(t *testing.T, discovery *fake.Discovery, more ...string) *relayProcess {
	t.Helper()
	text, err := os.ReadFile("../../../examples/config.json")
	if err != nil {
		t.Fatal(err)
	}
	var config map[string]any
	if err := json.Unmarshal(text, &config); err != nil {
		t.Fatal(err)
	}
	config["listen"], config["admin"], config["discovery"] = "127.0.0.1:0", "127.0.0.1:0", discovery.Address
	config["known"] = json.RawMessage(discovery.Snapshot())
	config["limits"] = map[string]any{"cores": 1, "memory_mb": 2048, "sockets": 19_000}
	text, _ = json.Marshal(config)
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.CommandContext(t.Context(), os.Args[0], more...)
	cmd.Env = append(os.Environ(), runAsRelay+"=1", "LB_CONFIG="+path, "TMPDIR="+t.TempDir())
	r := &relayProcess{t: t, log: &countedLog{found: map[string]string{}, ready: make(chan struct{})}, cmd: cmd, ended: make(chan struct{})}
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
	r.pid, r.heap = cmd.Process.Pid, json.NewDecoder(figures)
	go func() { r.log.follow(logs); close(r.ended) }()
	t.Cleanup(func() {
		cmd.Process.Kill()
		<-r.ended
		cmd.Wait()
		if len(r.log.other) > 0 {
			t.Errorf("the relay said what is no log line:\n%s", strings.Join(r.log.other, "\n"))
		}
	})
	select {
	case <-r.log.ready:
	case <-r.ended:
		t.Fatal("the relay ended before it served")
	case <-time.After(patience):
		t.Fatal("the relay does not serve")
	}
	r.address, r.admin = r.log.found["listen"], r.log.found["admin"]
	return r
}

// collected are the relay's heap and stacks after a collection.
func (r *relayProcess) collected() (h heapFigures) {
	r.t.Helper()
	if err := syscall.Kill(r.pid, syscall.SIGUSR1); err != nil {
		r.t.Fatal(err)
	}
	if err := r.heap.Decode(&h); err != nil {
		r.t.Fatal(err)
	}
	return h
}

// proc reads a file of the relay's in /proc.
func (r *relayProcess) proc(name string) string {
	r.t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", r.pid, name))
	if err != nil {
		r.t.Fatal(err)
	}
	return string(text)
}

// resident is the relay's resident memory, in bytes.
func (r *relayProcess) resident() float64 {
	r.t.Helper()
	_, rest, _ := strings.Cut(r.proc("status"), "VmRSS:")
	var kilobytes float64
	fmt.Sscan(rest, &kilobytes)
	return kilobytes * 1024
}

// descriptors is how many the relay holds.
func (r *relayProcess) descriptors() int {
	r.t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", r.pid))
	if err != nil {
		r.t.Fatal(err)
	}
	return len(entries)
}

// processor is the time that the relay has computed, in its own code and in the kernel.
func (r *relayProcess) processor() time.Duration {
	r.t.Helper()
	text := r.proc("stat")
	fields := strings.Fields(text[strings.LastIndexByte(text, ')')+1:])
	var ticks float64
	for _, field := range fields[11:13] { // utime and stime are the 14th and 15th of all
		n, _ := strconv.ParseFloat(field, 64)
		ticks += n
	}
	return time.Duration(ticks / tickHertz * float64(time.Second))
}

// tileServer answers probes, takes every connection, and returns every line.
type tileServer struct {
	address string

	mu   sync.Mutex
	open []net.Conn // those that are up
}

// push sends a line on every connection that is up, one after the other.
func (s *tileServer) push(line []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range s.open {
		if _, err := conn.Write(line); err != nil {
			return err
		}
	}
	return nil
}

func startTileServer(t *testing.T) *tileServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	s := &tileServer{address: l.Addr().String()}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

func (s *tileServer) serve(conn net.Conn) {
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
			up, line = true, []byte("UP 1\r\n")
			s.mu.Lock()
			s.open = append(s.open, conn)
			s.mu.Unlock()
		}
		if _, err := conn.Write(line); err != nil {
			return
		}
	}
}

// stage is a discovery service that knows some servers, the first so many of which are there.
func stage(t *testing.T, listed, there int) *fake.Discovery {
	t.Helper()
	d, _ := stageWith(t, listed, there)
	return d
}

// stageWith is stage, and the servers that are there.
func stageWith(t *testing.T, listed, there int) (d *fake.Discovery, all []*tileServer) {
	t.Helper()
	d, err := fake.NewDiscovery("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	for i := range listed {
		address := "127.0.0.1:1"
		if i < there {
			all = append(all, startTileServer(t))
			address = all[i].address
		}
		d.Set(fmt.Sprint("s", i), address, "Ready")
	}
	return d, all
}
