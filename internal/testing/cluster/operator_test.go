package cluster

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"
)

// runProgram runs a command of the program and returns what it prints.
func runProgram(args ...string) (string, error) {
	out, err := exec.Command(program, args...).CombinedOutput()
	return string(out), err
}

// What operators see: the list, the figures, a line for each change with its cause, and the time lines' events.
func TestOperatorsSeeTheFleet(t *testing.T) {
	fleet := newCluster(t, Layout{Relays: 3, Admin: true, Timeline: true}, 3)
	await(t, waitLimit()+10*time.Second, "at first", fleet.checkSettled)
	list, err := runProgram("members", "list", "--config", fleet.Relays[0].path("members.toml"))
	if err != nil || !strings.Contains(list, "r0 at ground: agreed, epoch ") || !strings.Contains(list, "share 0.3333: granted in the view") || strings.Count(list, "member, voter") != 3 {
		t.Errorf("%v\n%s", err, list)
	}
	figures := func(want ...string) func() error {
		return func() error {
			res, err := http.Get("http://" + fleet.Relays[0].Admin + "/ops/stats")
			if err != nil {
				return err
			}
			defer res.Body.Close()
			text, _ := io.ReadAll(res.Body)
			for _, w := range want {
				if !strings.Contains(string(text), w+"\n") {
					return fmt.Errorf("no line %q in:\n%s", w, text)
				}
			}
			return nil
		}
	}
	await(t, waitLimit(), "figures", figures(`relay_members{state="alive"} 2`, `relay_members_in_view 3`, `relay_members_phase{phase="agreed"} 1`, `relay_looks_relays 3`, `relay_looks_doubted 0`))

	watch := exec.Command(program, "members", "watch", "--socket", fleet.Relays[0].Socket, "--every", "50ms")
	shown, err := os.Create(fleet.Relays[0].path("watched"))
	if err != nil {
		t.Fatal(err)
	}
	defer shown.Close()
	watch.Stdout = shown
	seen := func(want string) func() error {
		return func() error {
			if text, _ := os.ReadFile(shown.Name()); !strings.Contains(string(text), want) {
				return fmt.Errorf("no %q in:\n%s", want, text)
			}
			return nil
		}
	}
	if err := watch.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { watch.Process.Kill() })
	// A drain by hand is told, and takes the relay's share; its end gives it back.
	http.Post("http://"+fleet.Relays[1].Admin+"/ops/drain/start", "", nil)
	await(t, waitLimit(), "the drain is told", func() error {
		if out, _ := runProgram("members", "list", "--socket", fleet.Relays[0].Socket); !strings.Contains(out, "draining") || !strings.Contains(out, "share 0.5000") {
			return fmt.Errorf("%s", out)
		}
		return nil
	})
	await(t, waitLimit(), "and watched", seen("r1: alive, draining"))
	http.Post("http://"+fleet.Relays[1].Admin+"/ops/drain/stop", "", nil)
	await(t, waitLimit(), "its end too", fleet.checkSettled)
	fleet.Kill(2)
	await(t, waitLimit(), "a death is told", figures(`relay_members{state="failed"} 1`, `relay_members_in_view 2`))
	await(t, waitLimit(), "the log has it", func() error {
		if log := fleet.Relays[0].Log(); !strings.Contains(log, `"member":"r2","state":"failed","cause":"failure detection"`) {
			return fmt.Errorf("no line for it")
		}
		return nil
	})
	await(t, waitLimit(), "the time line has it", func() error {
		out, err := runProgram("timeline", "events", "--socket", fleet.Relays[0].path("t"))
		if err != nil || !strings.Contains(out, "relay r2: failed (failure detection)") {
			return fmt.Errorf("%v: %s", err, out)
		}
		return nil
	})
	await(t, waitLimit(), "and watched", seen("r2: failed"))
	watch.Process.Signal(syscall.SIGINT)
	if err := watch.Wait(); err != nil {
		t.Error(err)
	}
}

// A taken port, seeds that nobody answers at, a key file that others can read: each said in one line. The first two do
// not keep the relay from serving, by the settings' number, and are mended once they can be.
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
			if n := strings.Count(r.Log(), want); n != 1 || !strings.Contains(list, ": alone, epoch 0") || !strings.Contains(list, "share 0.3333") {
				return fmt.Errorf("%d lines of it; %v %s", n, err, list)
			}
			return nil
		})
		c, err := net.Dial("tcp", r.Listen)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprint(c, "PING\r\n")
		answer := make([]byte, 4)
		if _, err := io.ReadFull(c, answer); err != nil || string(answer) != "PONG" {
			t.Errorf("%s: %q, %v", r.Name, answer, err)
		}
		c.Close()
	}
	l.Close()
	fleet.Start(2)
	await(t, waitLimit()+10*time.Second, "once they can", fleet.checkSettled)

	os.WriteFile(fleet.Relays[0].path("keys"), []byte("AAAAAAAAAAAAAAAAAAAAAA==\n"), 0o644)
	bad := fleet.Relays[0].path("bad.toml")
	text, _ := os.ReadFile(fleet.Relays[0].path("members.toml"))
	os.WriteFile(bad, append(text, []byte(fmt.Sprintf("keys = %q\n", fleet.Relays[0].path("keys")))...), 0o600)
	cmd := exec.Command(program, "--members", bad)
	cmd.Env = append(os.Environ(), "LB_CONFIG="+fleet.Relays[0].path("config.json"))
	out, err := cmd.CombinedOutput()
	if err == nil || strings.Count(string(out), "\n") != 1 || !strings.Contains(string(out), "keys: mode 0644") {
		t.Errorf("%v: %s", err, out)
	}
}

// Without the flag a relay knows nobody: it listens on nothing more, and says nothing of members.
func TestMembersOffCostsNothing(t *testing.T) {
	fleet := newCluster(t, Layout{Relays: 1, WithoutMembers: true, Admin: true}, 1)
	r := fleet.Relays[0]
	var figures string
	await(t, waitLimit(), "figures", func() error {
		res, err := http.Get("http://" + r.Admin + "/ops/stats")
		if err != nil {
			return err
		}
		defer res.Body.Close()
		text, _ := io.ReadAll(res.Body)
		figures = string(text)
		return nil
	})
	u, err := net.ListenPacket("udp", r.Gossip)
	if err != nil {
		t.Fatalf("somebody listens: %v", err)
	}
	defer u.Close()
	sockets, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", r.cmd.Process.Pid))
	listening := 0
	for _, f := range sockets {
		if to, _ := os.Readlink(fmt.Sprintf("/proc/%d/fd/%s", r.cmd.Process.Pid, f.Name())); strings.HasPrefix(to, "socket:") {
			listening++
		}
	}
	if strings.Contains(figures, "relay_members") || strings.Contains(r.Log(), "members") || listening > 4 { // the clients', the second address, discovery's, a caller's
		t.Errorf("%d sockets; figures and log:\n%s\n%s", listening, figures, r.Log())
	}
}
