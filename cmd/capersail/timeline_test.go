package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// The program with time lines: it answers on its socket, and after kill -9 its store has what was more than a
// second old. A second daemon on the same file serves all the same.
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
	f.waitFor("its answer on the socket", func() bool {
		return strings.Contains(runTimeline("--socket", socket, "show", "s1"), "placed 5,")
	})
	f.waitFor("a row in the store", func() bool { // which the daemon has locked: a copy is read
		text, _ := os.ReadFile(db)
		os.WriteFile(db+".copy", text, 0o600)
		return strings.Contains(runTimeline("--store", db+".copy", "show", "s1"), "placed 5,")
	})
	other := filepath.Join(dir, "other.toml")
	os.WriteFile(other, fmt.Appendf(nil, "store = %q\n", db), 0o600)
	second, address, messages := serve("--timeline", other)
	dial(t, address).sendAndExpect(t, "OPEN u1 7f3a c=map-stream,t=acme,d=2000", "UP")
	f.waitFor("a word about the file", func() bool {
		select {
		case line := <-messages:
			return strings.Contains(line, "in use by another process")
		default:
			return false
		}
	})
	second.Process.Kill() // before it tries the file again
	second.Wait()
	cmd.Process.Kill()
	cmd.Wait()
	got := runTimeline("--store", db, "show", "s1")
	if !strings.Contains(got, "placed 5,") || !strings.Contains(got, "warm") {
		t.Errorf("after kill -9 the store has %q", got)
	}
}
