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
	up, stopped           bool
	rules                 faultpoint.Rules
	weight                atomic.Int64 // of what a Load brings
	members               string       // the members' file as it is in a flat fleet
}

// Weigh sets how much of what a Load brings comes to the relay, 1 for an even part.
func (r *Relay) Weigh(weight int64) { r.weight.Store(weight) }

// Up tells whether the process runs; a stopped one does.
func (r *Relay) Up() bool { return r.up }

// Log is what the relay has written to its log, over all its lives.
func (r *Relay) Log() string {
	text, _ := os.ReadFile(filepath.Join(r.dir, "log"))
	return string(text)
}

func (r *Relay) file(name string) string { return filepath.Join(r.dir, name) }

// Start starts a relay's process.
func (g *Cluster) Start(i int) error {
	r := g.Relays[i]
	if r.up {
		return nil
	}
	log, err := os.OpenFile(r.file("log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	r.cmd = exec.Command(g.Program)
	if !g.Alone {
		r.cmd.Args = append(r.cmd.Args, "--members", r.file("members.toml"))
	}
	if g.Timeline {
		r.cmd.Args = append(r.cmd.Args, "--timeline", r.file("timeline.toml"))
		if err := os.WriteFile(r.file("timeline.toml"), []byte(fmt.Sprintf("socket = %q\n", r.file("t"))), 0o600); err != nil {
			return err
		}
	}
	r.cmd.Env = append(os.Environ(), "LB_CONFIG="+r.file("config.json"), "TMPDIR="+r.dir, "CAPERSAIL_FAULTS="+r.file("faults"), "CAPERSAIL_HISTORY="+r.file("history"))
	if g.Admin {
		r.cmd.Env = append(r.cmd.Env, "LB_ADMIN="+r.Admin)
	}
	r.cmd.Stderr, r.cmd.Stdout = log, log
	g.note(i, "start")
	if err := r.cmd.Start(); err != nil {
		return err
	}
	r.up, r.stopped, r.ended = true, false, make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		cmd.Wait()
		close(ended)
	}(r.cmd, r.ended)
	return nil
}

// Kill kills a relay's process and waits for its end.
func (g *Cluster) Kill(i int) {
	r := g.Relays[i]
	if !r.up {
		return
	}
	r.cmd.Process.Kill()
	<-r.ended
	r.up, r.stopped = false, false
	g.note(i, "kill")
}

// Term asks a relay's process to leave, and waits for its end.
func (g *Cluster) Term(i int) {
	r := g.Relays[i]
	if !r.up {
		return
	}
	g.Cont(i)
	r.cmd.Process.Signal(syscall.SIGTERM)
	<-r.ended
	r.up = false
	g.note(i, "kill")
}

// Stop stops a relay's process as it stands; Cont lets it go on.
func (g *Cluster) Stop(i int) {
	if r := g.Relays[i]; r.up && !r.stopped {
		r.cmd.Process.Signal(syscall.SIGSTOP)
		r.stopped = true
		g.note(i, "stop")
	}
}

// Cont lets a stopped process go on.
func (g *Cluster) Cont(i int) {
	if r := g.Relays[i]; r.up && r.stopped {
		g.note(i, "cont")
		r.cmd.Process.Signal(syscall.SIGCONT)
		r.stopped = false
	}
}

// Hup has a relay's process read its files again.
func (g *Cluster) Hup(i int) {
	if r := g.Relays[i]; r.up {
		r.cmd.Process.Signal(syscall.SIGHUP)
	}
}
