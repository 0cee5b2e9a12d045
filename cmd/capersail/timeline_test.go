package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// With time lines on, the program answers on its control socket, and after kill -9 its store has the entries
// that were more than a second old. A second process with the same store file serves clients, without the
// store.
func TestTimelineSurvivesKill(t *testing.T) {
	d, s := newDiscoveryWithServer(t, "s1")
	dir := t.TempDir()
	file := filepath.Join(dir, "timeline.toml")
	socket := filepath.Join(dir, "c.sock")
	db := filepath.Join(dir, "t.db")
	os.WriteFile(file, fmt.Appendf(nil, "socket = %q\nstore = %q\n", socket, db), 0o600)
	config := writeConfig(t, func(c map[string]any) {
		c["listen"], c["discovery"] = "127.0.0.1:0", d.Address
		c["known"] = json.RawMessage(d.Snapshot())
	})
	serve := func(more ...string) (*exec.Cmd, string, <-chan string) {
		t.Helper()
		cmd := relayCommand(t, config)
		cmd.Args = append(cmd.Args, more...)
		return startCommand(t, cmd)
	}
	runTimeline := func(args ...string) string {
		cmd := relayCommand(t, config)
		cmd.Args = append(cmd.Args, append([]string{"timeline"}, args...)...)
		out, _ := cmd.Output()
		return string(out)
	}
	cmd, address, _ := serve("--timeline", file)
	for i := range 5 {
		dial(t, address).sendAndExpect(t, fmt.Sprintf("OPEN t%d 7f3a c=map-stream,t=acme,d=2000", i), "UP")
		<-s.FirstLines
	}
	f := &fleet{t: t}
	f.waitFor("the placements on the control socket", func() bool {
		return strings.Contains(runTimeline("--socket", socket, "show", "s1"), "placed 5,")
	})
	f.waitFor("the placements in the store", func() bool { // read from a copy: the program locks the store
		text, _ := os.ReadFile(db)
		os.WriteFile(db+".copy", text, 0o600)
		return strings.Contains(runTimeline("--store", db+".copy", "show", "s1"), "placed 5,")
	})
	other := filepath.Join(dir, "other.toml")
	os.WriteFile(other, fmt.Appendf(nil, "store = %q\n", db), 0o600)
	second, address, messages := serve("--timeline", other)
	dial(t, address).sendAndExpect(t, "OPEN u1 7f3a c=map-stream,t=acme,d=2000", "UP")
	f.waitFor("the log message that the store is in use", func() bool {
		select {
		case line := <-messages:
			return strings.Contains(line, "in use by another process")
		default:
			return false
		}
	})
	second.Process.Kill() // before it tries to open the store again
	second.Wait()
	cmd.Process.Kill()
	cmd.Wait()
	got := runTimeline("--store", db, "show", "s1")
	if !strings.Contains(got, "placed 5,") || !strings.Contains(got, "warm") {
		t.Errorf("store after kill -9: got %q, want 5 placements and state warm", got)
	}
}

// In an upgrade the old process answers on the control sockets of the relay's parts. The new process ended
// because of that, with status 1. It must serve, and answer on the sockets once the old process has ended.
func TestUpgradeTakesOverControlSockets(t *testing.T) {
	l, config := newInheritableSocket(t)
	dir := t.TempDir()
	timelineSocket, membersSocket := filepath.Join(dir, "t.sock"), filepath.Join(dir, "m.sock")
	timelineFile, membersFile := filepath.Join(dir, "timeline.toml"), filepath.Join(dir, "members.toml")
	os.WriteFile(timelineFile, fmt.Appendf(nil, "socket = %q\n", timelineSocket), 0o600)
	gossip := freeAddress(t)
	os.WriteFile(membersFile, fmt.Appendf(nil,
		"site = \"test\"\nbind = %q\nseeds = [%q]\nstate = %q\nsocket = %q\n",
		gossip, gossip, filepath.Join(dir, "state"), membersSocket), 0o600)
	serve := func() (*exec.Cmd, <-chan string) {
		t.Helper()
		cmd := relayCommand(t, config)
		cmd.Args = append(cmd.Args, "--timeline", timelineFile, "--members", membersFile)
		cmd, _, logs := startWithSocket(t, cmd, l)
		return cmd, logs
	}
	answers := func(args ...string) bool {
		cmd := relayCommand(t, config)
		cmd.Args = append(cmd.Args, args...)
		return cmd.Run() == nil
	}
	bothAnswer := func() bool {
		return answers("timeline", "--socket", timelineSocket, "show", "s1") &&
			answers("members", "--socket", membersSocket)
	}
	f := &fleet{t: t}
	old, _ := serve()
	f.waitFor("the old process on both sockets", bothAnswer)
	next, logs := serve()
	old.Process.Signal(syscall.SIGTERM)
	if err := old.Wait(); err != nil {
		t.Errorf("old process after SIGTERM: exited with %v, want no error", err)
	}
	f.waitFor("the new process on both sockets", bothAnswer)
	next.Process.Signal(syscall.SIGTERM)
	if err := next.Wait(); err != nil {
		t.Errorf("new process after SIGTERM: exited with %v, want no error; log: %s", err, <-logs)
	}
}
