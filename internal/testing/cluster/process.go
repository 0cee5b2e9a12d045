package cluster

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"

	"capersail/internal/testing/faultpoint"
)

// Build builds the program with its fault injection points into a folder, and returns its path. dir is the
// project's root. The error has what the compiler says.
func Build(dir, into string) (string, error) {
	path := filepath.Join(into, "capersail")
	cmd := exec.Command("go", "build", "-tags", "faults", "-o", path, "./cmd/capersail")
	cmd.Dir = dir
	if out, err := cmd.CombinedOutput(); err != nil {
		return "", fmt.Errorf("go build: %w\n%s", err, out)
	}
	return path, nil
}

// Relay is one relay of a cluster, over all its incarnations: its addresses, its files, and its process while
// one runs.
type Relay struct {
	Name   string
	Gossip string // addresses
	Listen string
	Admin  string
	Socket string // the path of its control socket

	dir         string
	membersText string // the members' file without a plan
	faults      faultpoint.Rules
	weight      atomic.Int64 // its part of a Load

	cmd          *exec.Cmd
	processEnded chan struct{} // closed when the process has ended
	running      bool
	stopped      bool // by Stop; it is running still
}

// SetWeight sets how much of a Load comes to the relay, 1 for an even part and 0 for none. A Load may go on.
func (r *Relay) SetWeight(weight int64) { r.weight.Store(weight) }

// Running reports whether the process runs; a stopped one does.
func (r *Relay) Running() bool { return r.running }

// Log returns what the relay's processes have written to their log.
func (r *Relay) Log() string {
	text, _ := os.ReadFile(filepath.Join(r.dir, "log"))
	return string(text)
}

// path returns that of one of the relay's files.
func (r *Relay) path(name string) string { return filepath.Join(r.dir, name) }

// Start starts a relay's process, unless it runs. Its log goes on where the last one ended.
func (fleet *Cluster) Start(i int) error {
	r := fleet.Relays[i]
	if r.running {
		return nil
	}
	log, err := os.OpenFile(r.path("log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	r.cmd, err = fleet.command(r)
	if err != nil {
		return err
	}
	r.cmd.Stderr = log
	r.cmd.Stdout = log
	fleet.recordEvent(i, "start")
	if err := r.cmd.Start(); err != nil {
		return err
	}
	r.running = true
	r.stopped = false
	r.processEnded = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		cmd.Wait()
		close(ended)
	}(r.cmd, r.processEnded)
	return nil
}

// command returns the command that starts a relay's process.
func (fleet *Cluster) command(r *Relay) (*exec.Cmd, error) {
	cmd := exec.Command(fleet.Program)
	if fleet.IgnoreHangup {
		cmd = exec.Command("sh", "-c", "trap '' HUP; exec \"$0\" \"$@\"", fleet.Program)
	}
	if !fleet.WithoutMembership {
		cmd.Args = append(cmd.Args, "--members", r.path("members.toml"))
	}
	if fleet.Timeline {
		cmd.Args = append(cmd.Args, "--timeline", r.path("timeline.toml"))
		text := fmt.Sprintf("socket = %q\n", r.path("t"))
		if err := os.WriteFile(r.path("timeline.toml"), []byte(text), 0o600); err != nil {
			return nil, err
		}
	}
	cmd.Env = append(os.Environ(),
		"LB_CONFIG="+r.path("config.json"),
		"TMPDIR="+r.dir,
		"CAPERSAIL_FAULTS="+r.path("faults"),
		"CAPERSAIL_HISTORY="+r.path("history"),
	)
	if fleet.Admin {
		cmd.Env = append(cmd.Env, "LB_ADMIN="+r.Admin)
	}
	return cmd, nil
}

// Kill kills a relay's process, if it runs, and waits for its end.
func (fleet *Cluster) Kill(i int) {
	r := fleet.Relays[i]
	if !r.running {
		return
	}
	r.cmd.Process.Kill()
	<-r.processEnded
	r.running = false
	r.stopped = false
	fleet.recordEvent(i, "kill")
}

// Terminate has a relay's process, if it runs, shut down gracefully, and waits for its end.
func (fleet *Cluster) Terminate(i int) {
	r := fleet.Relays[i]
	if !r.running {
		return
	}
	fleet.Resume(i)
	r.cmd.Process.Signal(syscall.SIGTERM)
	<-r.processEnded
	r.running = false
	fleet.recordEvent(i, "kill")
}

// Signal sends a relay's process a signal, if it runs.
func (fleet *Cluster) Signal(i int, signal syscall.Signal) {
	if r := fleet.Relays[i]; r.running {
		r.cmd.Process.Signal(signal)
	}
}

// AwaitExit waits for the end of a relay's process, and kills it if it has not come by then. It reports whether
// the process ended by itself.
func (fleet *Cluster) AwaitExit(i int, within time.Duration) bool {
	r := fleet.Relays[i]
	if !r.running {
		return true
	}
	select {
	case <-r.processEnded:
		r.running = false
		r.stopped = false
		fleet.recordEvent(i, "kill")
		return true
	case <-time.After(within):
		fleet.Kill(i)
		return false
	}
}

// AwaitExec waits until a relay's process is the program, and not the shell before it.
func (fleet *Cluster) AwaitExec(i int) {
	r := fleet.Relays[i]
	link := fmt.Sprintf("/proc/%d/exe", r.cmd.Process.Pid)
	for {
		path, err := os.Readlink(link)
		if err != nil || path == fleet.Program {
			return
		}
		time.Sleep(50 * time.Microsecond)
	}
}

// Suspend suspends a relay's process, if it runs.
func (fleet *Cluster) Suspend(i int) {
	if r := fleet.Relays[i]; r.running && !r.stopped {
		r.cmd.Process.Signal(syscall.SIGSTOP)
		r.stopped = true
		fleet.recordEvent(i, "stop")
	}
}

// Resume resumes a process that Stop has suspended.
func (fleet *Cluster) Resume(i int) {
	if r := fleet.Relays[i]; r.running && r.stopped {
		fleet.recordEvent(i, "cont")
		r.cmd.Process.Signal(syscall.SIGCONT)
		r.stopped = false
	}
}

// Reload has a relay's process, if it runs, read its files again.
func (fleet *Cluster) Reload(i int) {
	if r := fleet.Relays[i]; r.running {
		r.cmd.Process.Signal(syscall.SIGHUP)
	}
}
