package cluster

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// runProgram runs a command of the program and returns what it prints.
func runProgram(args ...string) (string, error) {
	out, err := exec.Command(programPath, args...).CombinedOutput()
	return string(out), err
}

// fetchMetrics returns a relay's figures as its admin address has them.
func fetchMetrics(r *Relay) (string, error) {
	res, err := http.Get("http://" + r.Admin + "/ops/stats")
	if err != nil {
		return "", err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	return string(text), err
}

// checkMetrics fails unless a relay's figures have lines.
func checkMetrics(r *Relay, want ...string) error {
	text, err := fetchMetrics(r)
	if err != nil {
		return err
	}
	for _, line := range want {
		if !strings.Contains(text, line+"\n") {
			return fmt.Errorf("no line %q in:\n%s", line, text)
		}
	}
	return nil
}

// checkContains fails unless a text contains all others.
func checkContains(text string, want ...string) error {
	for _, w := range want {
		if !strings.Contains(text, w) {
			return fmt.Errorf("no %q in:\n%s", w, text)
		}
	}
	return nil
}

// startWatch starts `members watch` on a relay, and returns the command and the file that it writes to.
func startWatch(t *testing.T, r *Relay) (watch *exec.Cmd, file string) {
	t.Helper()
	watch = exec.Command(programPath, "members", "watch", "--socket", r.Socket, "--every", "50ms")
	shown, err := os.Create(r.path("watched"))
	if err != nil {
		t.Fatal(err)
	}
	defer shown.Close()
	watch.Stdout = shown
	if err := watch.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { watch.Process.Kill() })
	return watch, shown.Name()
}

// What operators see: the list, the figures, a line for each change with its cause, and the time line's
// events.
func TestOperatorsSeeTheFleet(t *testing.T) {
	fleet := newCluster(t, Layout{Relays: 3, Admin: true, Timeline: true}, 3)
	first := fleet.Relays[0]
	await(t, waitLimit()+10*time.Second, "at first", fleet.checkSettled)
	list, err := runProgram("members", "list", "--config", first.path("members.toml"))
	if err != nil || strings.Count(list, "member, voter") != 3 {
		t.Errorf("%v\n%s", err, list)
	}
	agreed := "r0 at " + defaultDeployment + ": agreed, epoch "
	if err := checkContains(list, agreed, "share 0.3333: granted in the view"); err != nil {
		t.Error(err)
	}
	await(t, waitLimit(), "figures", func() error {
		return checkMetrics(first,
			`relay_members{state="alive"} 2`,
			`relay_members_in_view 3`,
			`relay_members_phase{phase="agreed"} 1`,
			`relay_looks_relays 3`,
			`relay_looks_doubted 0`,
		)
	})
	watch, watched := startWatch(t, first)
	awaitWatched := func(want string) {
		t.Helper()
		await(t, waitLimit(), "and watched", func() error {
			text, _ := os.ReadFile(watched)
			return checkContains(string(text), want)
		})
	}
	checkManualDrain(t, fleet, awaitWatched)
	checkRelayFailure(t, fleet, awaitWatched)
	watch.Process.Signal(syscall.SIGINT)
	if err := watch.Wait(); err != nil {
		t.Error(err)
	}
}

// checkManualDrain checks that a manual drain is listed, and takes the relay's share, and that its end gives
// it back.
func checkManualDrain(t *testing.T, fleet *Cluster, awaitWatched func(want string)) {
	t.Helper()
	drained := "http://" + fleet.Relays[1].Admin + "/ops/drain/"
	http.Post(drained+"start", "", nil)
	await(t, waitLimit(), "the drain is listed", func() error {
		out, _ := runProgram("members", "list", "--socket", fleet.Relays[0].Socket)
		return checkContains(out, "draining", "share 0.5000")
	})
	awaitWatched("r1: alive, draining")
	http.Post(drained+"stop", "", nil)
	await(t, waitLimit(), "its end too", fleet.checkSettled)
}

// checkRelayFailure checks that the figures, the log and the time line have the end of a relay.
func checkRelayFailure(t *testing.T, fleet *Cluster, awaitWatched func(want string)) {
	t.Helper()
	first := fleet.Relays[0]
	fleet.Kill(2)
	await(t, waitLimit(), "the figures have it", func() error {
		return checkMetrics(first, `relay_members{state="failed"} 1`, `relay_members_in_view 2`)
	})
	await(t, waitLimit(), "the log has it", func() error {
		const line = `"member":"r2","state":"failed","cause":"failure detection"`
		if !strings.Contains(first.Log(), line) {
			return fmt.Errorf("no %s", line)
		}
		return nil
	})
	await(t, waitLimit(), "the time line has it", func() error {
		out, err := runProgram("timeline", "events", "--socket", first.path("t"))
		if err != nil {
			return fmt.Errorf("%w: %s", err, out)
		}
		return checkContains(out, "relay r2: failed (failure detection)")
	})
	awaitWatched("r2: failed")
}

// A taken port, seeds that nobody answers at, a key file that others can read: each is one line of the log.
// The first two do not keep the relay from serving, by the settings' number of relays, and end once they can.
func TestRelayServesAlone(t *testing.T) {
	fleet := newCluster(t, Layout{Relays: 3}, 0)
	l, err := net.Listen("tcp", fleet.Relays[1].Gossip)
	if err != nil {
		t.Fatal(err)
	}
	fleet.Start(0) // its seeds are not there
	fleet.Start(1) // its port is taken
	for i, want := range map[int]string{0: "seed out of reach", 1: "cannot listen"} {
		r := fleet.Relays[i]
		await(t, waitLimit(), want, func() error {
			list, err := runProgram("members", "list", "--socket", r.Socket)
			if n := strings.Count(r.Log(), want); n != 1 {
				return fmt.Errorf("%d lines of it; %v %s", n, err, list)
			}
			return checkContains(list, ": alone, epoch 0", "share 0.3333")
		})
		checkAnswersProbe(t, r)
	}
	l.Close()
	fleet.Start(2)
	await(t, waitLimit()+10*time.Second, "once they can", fleet.checkSettled)

	checkReadableKeysRejected(t, fleet.Relays[0])
}

// checkReadableKeysRejected checks that a process does not start with a key file that others can read.
func checkReadableKeysRejected(t *testing.T, r *Relay) {
	t.Helper()
	keys := r.path("keys")
	if err := os.WriteFile(keys, []byte("AAAAAAAAAAAAAAAAAAAAAA==\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(r.path("members.toml"))
	if err != nil {
		t.Fatal(err)
	}
	text = fmt.Appendf(text, "keys = %q\n", keys)
	if err := os.WriteFile(r.path("bad.toml"), text, 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(programPath, "--members", r.path("bad.toml"))
	cmd.Env = append(os.Environ(), "LB_CONFIG="+r.path("config.json"))
	out, err := cmd.CombinedOutput()
	if err == nil || strings.Count(string(out), "\n") != 1 || !strings.Contains(string(out), "keys: mode 0644") {
		t.Errorf("%v: %s", err, out)
	}
}

// Without the flag a relay knows nobody: it listens on nothing more, and says nothing of members.
func TestMembersOffCostsNothing(t *testing.T) {
	fleet := newCluster(t, Layout{Relays: 1, WithoutMembership: true, Admin: true}, 1)
	r := fleet.Relays[0]
	var text string
	await(t, waitLimit(), "figures", func() (err error) {
		text, err = fetchMetrics(r)
		return err
	})
	u, err := net.ListenPacket("udp", r.Gossip)
	if err != nil {
		t.Fatalf("somebody listens: %v", err)
	}
	defer u.Close()
	// The clients' socket, the admin address, discovery's, and that of this test's request for the figures.
	const most = 4
	sockets := countSockets(t, r.cmd.Process.Pid)
	if strings.Contains(text, "relay_members") || strings.Contains(r.Log(), "members") || sockets > most {
		t.Errorf("%d sockets; figures and log:\n%s\n%s", sockets, text, r.Log())
	}
}

// countSockets returns how many sockets a process has open.
func countSockets(t *testing.T, pid int) (n int) {
	t.Helper()
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	files, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range files {
		if to, _ := os.Readlink(filepath.Join(dir, f.Name())); strings.HasPrefix(to, "socket:") {
			n++
		}
	}
	return n
}
