package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// runCommand returns the command `run` of the deploy file.
func runCommand() (string, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), "run = "); ok {
			return strconv.Unquote(value)
		}
	}
	return "", errors.New("deploy/balancer.toml has no run")
}

// relayProcess is one relay, started by the deploy file's command.
type relayProcess struct {
	cmd  *exec.Cmd
	done chan struct{}
}

// startRelay starts a relay with further flags and variables, with a folder of its own as $TMPDIR. Its log
// goes to a file in that folder.
func startRelay(folder, name string, flags []string, env ...string) (*relayProcess, error) {
	run, err := runCommand()
	if err != nil {
		return nil, err
	}
	tmp := filepath.Join(folder, name)
	if err := os.MkdirAll(tmp, 0o700); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(folder, name+".log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := exec.Command("/bin/sh", "-c", strings.Join(append([]string{run}, flags...), " "))
	cmd.Env = append(os.Environ(), append(env, "TMPDIR="+tmp)...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	r := &relayProcess{cmd: cmd, done: make(chan struct{})}
	go func() { cmd.Wait(); close(r.done) }()
	return r, nil
}

func (r *relayProcess) signal(s syscall.Signal) { r.cmd.Process.Signal(s) }

// stop ends the process.
func (r *relayProcess) stop() {
	r.signal(syscall.SIGCONT)
	r.signal(syscall.SIGKILL)
	<-r.done
}

func (r *relayProcess) ended() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

// awaitListener waits until an address accepts connections.
func awaitListener(address string, r *relayProcess) error {
	for range 100 {
		if c, err := net.DialTimeout("tcp", address, time.Second); err == nil {
			c.Close()
			return nil
		}
		if r.ended() {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("no relay at %s", address)
}

// freeAddress returns a loopback address that is free now.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}
