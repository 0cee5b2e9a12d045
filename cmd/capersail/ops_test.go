package main

import (
	"encoding/json"
	"net"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"
)

// inherit starts the program on a listening socket that the test holds, as the platform does on upgrade days:
// descriptor 3, named by LB_FD. Binding the address again would fail.
func inherit(t *testing.T, config string, l *net.TCPListener, env ...string) (*exec.Cmd, string, <-chan string) {
	t.Helper()
	f, err := l.File()
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	cmd := program(t, config)
	cmd.ExtraFiles = []*os.File{f}
	cmd.Env = append(cmd.Env, append(env, "LB_FD=3")...)
	return startCmd(t, cmd)
}

// An upgrade: two processes serve one socket; at SIGTERM the old one moves its clients and stops accepting, and
// not one connection that comes meanwhile is turned back.
func TestUpgradeOnInheritedSocket(t *testing.T) {
	d, _ := stage(t, "s1")
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	config := configure(t, func(c map[string]any) {
		c["listen"], c["discovery"] = l.Addr().String(), d.Address
		c["known"] = json.RawMessage(d.Whole())
	})
	old, _, _ := inherit(t, config, l)
	c := dial(t, l.Addr().String())
	c.ask(t, "PING", "PONG")
	c.ask(t, open, "UP")

	next, _, _ := inherit(t, config, l)
	if err := old.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	exited := make(chan error, 1)
	go func() { exited <- old.Wait() }()
	moved := make(chan string, 1)
	go func() { got, _ := c.in.ReadString('\n'); moved <- strings.TrimSpace(got) }()
	for i := 0; ; i++ {
		select {
		case err := <-exited:
			if err != nil {
				t.Errorf("the old process ended with %v", err)
			}
			if got := <-moved; got != "MOVE" {
				t.Errorf("the old process's client was told %q", got)
			}
			k := dial(t, l.Addr().String())
			k.ask(t, "PING", "PONG")
			k.ask(t, strings.Replace(open, "9b1f", "after", 1), "UP")
			next.Process.Signal(syscall.SIGTERM)
			if err := next.Wait(); err != nil {
				t.Errorf("the new process ended with %v", err)
			}
			return
		default:
		}
		dial(t, l.Addr().String()).ask(t, "PING", "PONG") // whoever takes it answers
		time.Sleep(10 * time.Millisecond)
		if i > 2000 {
			t.Fatal("the old process does not leave")
		}
	}
}
