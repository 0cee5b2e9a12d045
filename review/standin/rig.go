package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// rig is what a case is played with: a temporary folder, a record, and the relays' processes.
type rig struct {
	dir        string
	runCommand string // `run` of the deploy file
	trouble    bool   // the disruption takes place
	began      time.Time

	mu       sync.Mutex
	record   *os.File // nil once the case is over
	cleanUps []func() // end the processes
}

func newRig(recordFile string) (*rig, error) {
	command := os.Getenv("RUN_COMMAND")
	if command == "" {
		return nil, fmt.Errorf("RUN_COMMAND is not set")
	}
	record, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	r := &rig{
		dir:        dir,
		runCommand: command,
		trouble:    os.Getenv("TROUBLE") != "0",
		began:      time.Now(),
		record:     record,
	}
	r.note("disruption: %v", r.trouble)
	return r, nil
}

// close ends the record and every process, and removes the folder.
func (r *rig) close() {
	r.mu.Lock()
	if r.record != nil {
		r.record.Close()
		r.record = nil
	}
	cleanUps := r.cleanUps
	r.cleanUps = nil
	r.mu.Unlock()
	for _, end := range cleanUps {
		end()
	}
	os.RemoveAll(r.dir)
}

// onClose has close call a function that ends a process.
func (r *rig) onClose(end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cleanUps = append(r.cleanUps, end)
}

// note writes a line to the record, with the milliseconds since the start.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.record == nil {
		return
	}
	fmt.Fprintf(r.record, "%7d %s\n", time.Since(r.began).Milliseconds(), fmt.Sprintf(format, args...))
}

// path returns the path of a file in the temporary folder.
func (r *rig) path(name string) string { return filepath.Join(r.dir, name) }

// write writes a file into the temporary folder and returns its path.
func (r *rig) write(name, text string) (string, error) {
	return r.path(name), os.WriteFile(r.path(name), []byte(text), 0o600)
}

// freeAddress returns a loopback address that no process uses.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// relayProcess is one process of a relay.
type relayProcess struct {
	name  string
	cmd   *exec.Cmd
	ended chan struct{} // closed when the process has ended
}

// startRelay starts a relay as the deploy file does, with flags, additional variables and inherited files.
// Its log goes to a file in the temporary folder.
func (r *rig) startRelay(name, flags string, env []string, files ...*os.File) (*relayProcess, error) {
	log, err := os.Create(r.path(name + ".log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := exec.Command("/bin/sh", "-c", r.runCommand+" "+flags)
	cmd.Env = append(os.Environ(), append(env, "TMPDIR="+r.dir)...)
	cmd.Stdout, cmd.Stderr, cmd.ExtraFiles = log, log, files
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &relayProcess{name: name, cmd: cmd, ended: make(chan struct{})}
	go func() {
		cmd.Wait()
		close(p.ended)
	}()
	r.onClose(p.end)
	r.note("relay %s started: %s %s", name, r.runCommand, strings.ReplaceAll(flags, r.dir, "$DIR"))
	return p, nil
}

// end kills the process and waits until it has ended.
func (p *relayProcess) end() {
	p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.ended
}

// hasEnded reports whether the process has ended within a time.
func (p *relayProcess) hasEnded(within time.Duration) bool {
	select {
	case <-p.ended:
		return true
	case <-time.After(within):
		return false
	}
}

// logTail writes the last lines of a relay's log to the record.
func (r *rig) logTail(p *relayProcess, most int) {
	text, err := os.ReadFile(r.path(p.name + ".log"))
	if err != nil {
		return
	}
	shown := strings.ReplaceAll(string(text[max(0, len(text)-most):]), r.dir, "$DIR")
	r.note("end of the log of relay %s:\n%s", p.name, shown)
}

// awaitListening waits until an address accepts connections.
func awaitListening(address string, within time.Duration) error {
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if c, err := net.DialTimeout("tcp", address, 200*time.Millisecond); err == nil {
			return c.Close()
		}
	}
	return fmt.Errorf("nothing listens at %s", address)
}
