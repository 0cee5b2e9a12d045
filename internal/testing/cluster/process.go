package cluster

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"

	"capersail/internal/testing/faultpoint"
)

// Build builds the program with its seams into a folder and returns its path. dir is the project's root.
func Build(dir, into string) (string, error) {
	path := filepath.Join(into, "capersail")
	cmd := exec.Command("go", "build", "-tags", "faults", "-o", path, "./cmd/capersail")
	cmd.Dir = dir
	if out, err := cmd.CombinedOutput(); err != nil {
		return "", fmt.Errorf("go build: %w\n%s", err, out)
	}
	return path, nil
}

// Relay is one process, or the place of one.
type Relay struct {
	Name                  string
	Gossip, Listen, Admin string
	Socket                string
	dir                   string
	cmd                   *exec.Cmd
	ended                 chan struct{}
	running, stopped      bool
	faults                faultpoint.Rules
	weight                atomic.Int64 // of what a Load brings
	membersText           string       // the members' file as it is in a flat fleet
}

// SetWeight sets how much of what a Load brings comes to the relay, 1 for an even part.
func (r *Relay) SetWeight(weight int64) { r.weight.Store(weight) }

// Running tells whether the process runs; a stopped one does.
func (r *Relay) Running() bool { return r.running }

// Log is what the relay has written to its log, over all its lives.
func (r *Relay) Log() string {
	text, _ := os.ReadFile(filepath.Join(r.dir, "log"))
	return string(text)
}

func (r *Relay) path(name string) string { return filepath.Join(r.dir, name) }

// Start starts a relay's process.
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
	r.cmd = exec.Command(fleet.Program)
	if !fleet.WithoutMembers {
		r.cmd.Args = append(r.cmd.Args, "--members", r.path("members.toml"))
	}
	if fleet.Timeline {
		r.cmd.Args = append(r.cmd.Args, "--timeline", r.path("timeline.toml"))
		if err := os.WriteFile(r.path("timeline.toml"), []byte(fmt.Sprintf("socket = %q\n", r.path("t"))), 0o600); err != nil {
			return err
		}
	}
	r.cmd.Env = append(os.Environ(), "LB_CONFIG="+r.path("config.json"), "TMPDIR="+r.dir, "CAPERSAIL_FAULTS="+r.path("faults"), "CAPERSAIL_HISTORY="+r.path("history"))
	if fleet.Admin {
		r.cmd.Env = append(r.cmd.Env, "LB_ADMIN="+r.Admin)
	}
	r.cmd.Stderr, r.cmd.Stdout = log, log
	fleet.recordEvent(i, "start")
	if err := r.cmd.Start(); err != nil {
		return err
	}
	r.running, r.stopped, r.ended = true, false, make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		cmd.Wait()
		close(ended)
	}(r.cmd, r.ended)
	return nil
}

// Kill kills a relay's process and waits for its end.
func (fleet *Cluster) Kill(i int) {
	r := fleet.Relays[i]
	if !r.running {
		return
	}
	r.cmd.Process.Kill()
	<-r.ended
	r.running, r.stopped = false, false
	fleet.recordEvent(i, "kill")
}

// Term asks a relay's process to leave, and waits for its end.
func (fleet *Cluster) Term(i int) {
	r := fleet.Relays[i]
	if !r.running {
		return
	}
	fleet.Cont(i)
	r.cmd.Process.Signal(syscall.SIGTERM)
	<-r.ended
	r.running = false
	fleet.recordEvent(i, "kill")
}

// Stop stops a relay's process as it stands; Cont lets it go on.
func (fleet *Cluster) Stop(i int) {
	if r := fleet.Relays[i]; r.running && !r.stopped {
		r.cmd.Process.Signal(syscall.SIGSTOP)
		r.stopped = true
		fleet.recordEvent(i, "stop")
	}
}

// Cont lets a stopped process go on.
func (fleet *Cluster) Cont(i int) {
	if r := fleet.Relays[i]; r.running && r.stopped {
		fleet.recordEvent(i, "cont")
		r.cmd.Process.Signal(syscall.SIGCONT)
		r.stopped = false
	}
}

// Reload has a relay's process read its files again.
func (fleet *Cluster) Reload(i int) {
	if r := fleet.Relays[i]; r.running {
		r.cmd.Process.Signal(syscall.SIGHUP)
	}
}
