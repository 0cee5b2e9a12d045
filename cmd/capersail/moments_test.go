package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"capersail/internal/testing/fake"
)

// Idle clients take all the descriptors that a relay has while discovery is down: it goes on serving by the
// list that it has, makes room for whoever asks, and follows discovery when that returns. The machine holds
// the process to 64 descriptors.
func TestFullOfIdleClientsWhileDiscoveryIsDown(t *testing.T) {
	address := freeAddress(t) // discovery's, where nobody is yet
	s1, err := fake.NewEchoServer("127.0.0.1:0", "UP")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s1.Close)
	config := configure(t, func(c map[string]any) {
		c["listen"], c["discovery"], c["limits"] = "127.0.0.1:0", address, map[string]any{"sockets": 64}
		c["known"] = json.RawMessage(`{"generation":1,"reset":true,"instances":[` + fake.Entry("s1", s1.Address, "Ready") + `]}`)
	})
	shell := exec.CommandContext(t.Context(), "/bin/sh", "-c", `ulimit -n 64 && exec "$0"`, os.Args[0])
	shell.Env = append(os.Environ(), "CAPERSAIL_RUN=1", "LB_CONFIG="+config)
	cmd, relay, said := startCmd(t, shell)
	go func() {
		for range said {
		}
	}()
	idle := func(n int) {
		for range n {
			c, err := net.Dial("tcp", relay)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { c.Close() })
		}
	}
	ask := func(i int) string {
		c := dial(t, relay)
		defer c.Close()
		fmt.Fprintf(c, "OPEN i%d 7f3a c=map-stream,t=acme,d=2000\r\n", i)
		got, _ := c.in.ReadString('\n')
		return strings.Fields(got + " -")[0]
	}
	idle(200)
	for i := range 5 {
		if got := ask(i); got != "UP" {
			t.Errorf("request %d behind 200 idle clients was answered %q", i, got)
		}
		idle(20)
	}
	s2, err := fake.NewEchoServer("127.0.0.1:0", "UP")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s2.Close)
	d, err := fake.NewDiscovery(address)
	if err != nil {
		t.Fatal(err)
	}
	d.Set("s2", s2.Address, "Ready") // and s1 is gone
	for i, until := 100, time.Now().Add(20*time.Second); len(s2.FirstLines) == 0; i++ {
		idle(10)
		ask(i)
		if time.Now().After(until) {
			t.Fatal("discovery's return was not found in 20 s")
		}
		time.Sleep(20 * time.Millisecond)
	}
	cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil {
		t.Errorf("the program ended with %v", err)
	}
}

// SIGTERM in the middle of a manual drain, and a second one on top of it: who is open is moved, who rests or
// has sent half a line has a clean end, and the program exits in order.
func TestTermBesideADrain(t *testing.T) {
	d, _ := stage(t, "s1")
	admin := freeAddress(t)
	cmd, relay, said := start(t, configure(t, func(c map[string]any) {
		c["listen"], c["discovery"], c["admin"] = "127.0.0.1:0", d.Address, admin
		c["known"] = json.RawMessage(d.Snapshot())
	}))
	open1 := dial(t, relay)
	open1.ask(t, open, "UP")
	awaitReady(t, admin)
	rests, half := dial(t, relay), dial(t, relay)
	rests.ask(t, "PING", "PONG")
	fmt.Fprint(half, "OPEN h1 7f3a c=map")
	if code, _ := call(t, "POST", "http://"+admin+"/ops/drain/start"); code/100 != 2 {
		t.Fatalf("drain: %d", code)
	}
	cmd.Process.Signal(syscall.SIGTERM)
	for line := range said {
		if strings.HasPrefix(line, "draining") {
			cmd.Process.Signal(syscall.SIGTERM)
			break
		}
	}
	go func() {
		for range said {
		}
	}()
	if got, err := open1.in.ReadString('\n'); strings.TrimSpace(got) != "MOVE" {
		t.Errorf("who is open was told %q, %v", got, err)
	}
	for name, c := range map[string]*client{"who rests": rests, "who sent half a line": half} {
		if got, err := c.in.ReadString('\n'); got != "" || err == nil || err.Error() != "EOF" {
			t.Errorf("%s: %q, %v", name, got, err)
		}
		c.Close()
	}
	open1.Close()
	if err := cmd.Wait(); err != nil {
		t.Errorf("the program ended with %v", err)
	}
}

// Signals are caught before other packages are initialized, which takes milliseconds: until then a SIGHUP
// ends the process.
func TestSignalsAreCaughtFirst(t *testing.T) {
	cmd := exec.CommandContext(t.Context(), os.Args[0], "-test.run=^$")
	cmd.Env = append(os.Environ(), "GODEBUG=inittrace=1")
	trace, err := cmd.CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, trace)
	}
	caught := strings.Index(string(trace), "init capersail/internal/signals ")
	for _, later := range []string{"github.com/prometheus/client_golang/prometheus", "github.com/hashicorp/memberlist", "gonum.org/v1/plot"} {
		if at := strings.Index(string(trace), "init "+later+" "); caught < 0 || at < caught {
			t.Errorf("%s is initialized at byte %d of the trace, signals at %d", later, at, caught)
		}
	}
}
