package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// harness holds what every case needs: the record, a temporary folder and the relays that were started.
type harness struct {
	root, run, dir string
	trouble        bool
	began          time.Time

	mu     sync.Mutex
	record *os.File
	relays []*relayProc
	broken []string
}

// logf writes a line with the time since the start to the record.
func (h *harness) logf(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	fmt.Fprintf(h.record, "%8.3f "+format+"\n", append([]any{time.Since(h.began).Seconds()}, args...)...)
}

// breaks records that the rule was broken.
func (h *harness) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	h.logf("RULE BROKEN: %s", text)
	h.mu.Lock()
	h.broken = append(h.broken, text)
	h.mu.Unlock()
}

// cannotRun ends the case with exit code 2.
func (h *harness) cannotRun(format string, args ...any) {
	h.logf("case could not run: "+format, args...)
	h.finish(2)
}

// finish ends every relay, writes the verdict and exits.
func (h *harness) finish(code int) {
	h.mu.Lock()
	relays := h.relays
	h.mu.Unlock()
	for _, r := range relays {
		r.kill()
	}
	for _, r := range relays {
		<-r.done
		h.logf("log of relay %s:", r.name)
		h.mu.Lock()
		for _, line := range r.lastLines() {
			fmt.Fprintln(h.record, "         |", strings.ReplaceAll(line, h.dir, "DIR"))
		}
		h.mu.Unlock()
	}
	h.logf("exit %d", code)
	os.RemoveAll(h.dir)
	os.Exit(code)
}

// verdict ends the case with exit code 1 if the rule was broken, else with 0.
func (h *harness) verdict() {
	h.mu.Lock()
	broken := h.broken
	h.mu.Unlock()
	if len(broken) == 0 {
		fmt.Println("rule held")
		h.finish(0)
	}
	fmt.Printf("rule broken %d times; the first: %s\n", len(broken), broken[0])
	h.finish(1)
}

// writeFile writes a file into the temporary folder and returns its path.
func (h *harness) writeFile(name, text string) string {
	path := filepath.Join(h.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		h.cannotRun("%v", err)
	}
	return path
}

// relayProc is a process of the relay.
type relayProc struct {
	name    string
	cmd     *exec.Cmd
	done    chan struct{} // closed once the process has ended
	endedAt time.Time
	err     error
	output  lockedBuffer
}

type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// startRelay starts the run command of the deploy file with further flags. inherited is a listening socket
// that the process gets as descriptor 3; nil for none.
func (h *harness) startRelay(name, flags string, inherited *os.File, env ...string) *relayProc {
	cmd := exec.Command("/bin/sh", "-c", strings.TrimSpace(h.run+" "+flags))
	cmd.Dir = h.root
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + h.dir}, env...)
	if inherited != nil {
		cmd.ExtraFiles = []*os.File{inherited}
		cmd.Env = append(cmd.Env, "LB_FD=3")
	}
	r := &relayProc{name: name, cmd: cmd, done: make(chan struct{})}
	cmd.Stdout, cmd.Stderr = &r.output, &r.output
	if err := cmd.Start(); err != nil {
		h.cannotRun("start of relay %s: %v", name, err)
	}
	h.mu.Lock()
	h.relays = append(h.relays, r)
	h.mu.Unlock()
	h.logf("relay %s started", name)
	go func() {
		r.err = cmd.Wait()
		r.endedAt = time.Now()
		h.logf("relay %s ended: %v", name, cmd.ProcessState)
		close(r.done)
	}()
	return r
}

func (r *relayProc) signal(s syscall.Signal) { r.cmd.Process.Signal(s) }

func (r *relayProc) ended() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

func (r *relayProc) kill() {
	if !r.ended() {
		r.signal(syscall.SIGKILL)
	}
}

const maxLoggedLines = 40

func (r *relayProc) lastLines() []string {
	lines := strings.Split(strings.TrimSpace(r.output.String()), "\n")
	if len(lines) > maxLoggedLines {
		lines = lines[len(lines)-maxLoggedLines:]
	}
	return lines
}

// freeAddress returns a loopback address on which nothing listens now.
func (h *harness) freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		h.cannotRun("%v", err)
	}
	defer l.Close()
	return l.Addr().String()
}

// call makes one call to an admin address and returns the status, 0 if there was no answer within a second.
func call(method, url string) int {
	req, err := http.NewRequest(method, url, nil)
	if err != nil {
		return 0
	}
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(req)
	if err != nil {
		return 0
	}
	res.Body.Close()
	return res.StatusCode
}

// awaitReady waits until a relay says that it is ready, at most for the limit.
func awaitReady(admin string, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if call("GET", "http://"+admin+"/ops/readiness") == 200 {
			return true
		}
	}
	return false
}
