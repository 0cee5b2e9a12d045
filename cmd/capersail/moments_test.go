package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
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
// list that it has, frees descriptors for whoever asks, and follows discovery when that returns. The machine
// holds the process to 64 descriptors.
func TestDescriptorsExhaustedByIdleClientsWhileDiscoveryIsDown(t *testing.T) {
	address := freeAddress(t) // discovery's, where nobody is yet
	s1, err := fake.NewEchoServer("127.0.0.1:0", "UP")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s1.Close)
	entry := fake.EndpointJSON("s1", s1.Address, "Ready")
	config := writeConfig(t, func(c map[string]any) {
		c["listen"], c["discovery"] = "127.0.0.1:0", address
		c["limits"] = map[string]any{"sockets": 64}
		c["known"] = json.RawMessage(`{"generation":1,"reset":true,"instances":[` + entry + `]}`)
	})
	shell := exec.CommandContext(t.Context(), "/bin/sh", "-c", `ulimit -n 64 && exec "$0"`, os.Args[0])
	shell.Env = append(os.Environ(), "CAPERSAIL_RUN=1", "LB_CONFIG="+config)
	cmd, relay, messages := startCommand(t, shell)
	go func() {
		for range messages {
		}
	}()
	openIdleClients := func(n int) {
		for range n {
			c, err := net.Dial("tcp", relay)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { c.Close() })
		}
	}
	openRequest := func(i int) string {
		c := dial(t, relay)
		defer c.Close()
		fmt.Fprintf(c, "OPEN i%d 7f3a c=map-stream,t=acme,d=2000\r\n", i)
		got, _ := c.in.ReadString('\n')
		return strings.Fields(got + " -")[0]
	}
	openIdleClients(200)
	for i := range 5 {
		if got := openRequest(i); got != "UP" {
			t.Errorf("request %d behind 200 idle clients was answered %q", i, got)
		}
		openIdleClients(20)
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
		openIdleClients(10)
		openRequest(i)
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

// SIGTERM in the middle of a manual drain, and a second one on top of it: an open connection is migrated, one
// that is idle or has sent half a line is closed cleanly, and the program exits in order.
func TestSIGTERMDuringManualDrainShutsDownGracefully(t *testing.T) {
	d, _ := newDiscoveryWithServer(t, "s1")
	admin := freeAddress(t)
	cmd, relay, messages := startRelay(t, writeConfig(t, func(c map[string]any) {
		c["listen"], c["discovery"], c["admin"] = "127.0.0.1:0", d.Address, admin
		c["known"] = json.RawMessage(d.Snapshot())
	}))
	open1 := dial(t, relay)
	open1.sendAndExpect(t, openLine, "UP")
	awaitReady(t, admin)
	idle, partial := dial(t, relay), dial(t, relay)
	idle.sendAndExpect(t, "PING", "PONG")
	fmt.Fprint(partial, "OPEN h1 7f3a c=map")
	if code, _ := callAdmin(t, "POST", "http://"+admin+"/ops/drain/start"); code/100 != 2 {
		t.Fatalf("drain: %d", code)
	}
	cmd.Process.Signal(syscall.SIGTERM)
	for line := range messages {
		if strings.HasPrefix(line, "draining") {
			cmd.Process.Signal(syscall.SIGTERM)
			break
		}
	}
	go func() {
		for range messages {
		}
	}()
	if got, err := open1.in.ReadString('\n'); strings.TrimSpace(got) != "MOVE" {
		t.Errorf("who is open was told %q, %v", got, err)
	}
	for name, c := range map[string]*client{"who rests": idle, "who sent half a line": partial} {
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
	for _, later := range []string{
		"github.com/prometheus/client_golang/prometheus",
		"github.com/hashicorp/memberlist",
		"gonum.org/v1/plot",
	} {
		if at := strings.Index(string(trace), "init "+later+" "); caught < 0 || at < caught {
			t.Errorf("%s is initialized at byte %d of the trace, signals at %d", later, at, caught)
		}
	}
}

// deployedCommand is the program as deploy/balancer.toml has the platform start it.
func deployedCommand(t *testing.T, config string) *exec.Cmd {
	t.Helper()
	deploy, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	_, line, _ := strings.Cut(string(deploy), "\nrun = \"")
	line, _, found := strings.Cut(line, "\"\n")
	if !found || !strings.Contains(line, "bin/capersail") {
		t.Fatalf("deploy/balancer.toml runs %q", line)
	}
	line = strings.Replace(line, "bin/capersail", os.Args[0], 1)
	cmd := exec.CommandContext(t.Context(), "sh", "-c", line)
	cmd.Env = append(os.Environ(), "CAPERSAIL_RUN=1", "LB_CONFIG="+config)
	return cmd
}

// A process that is started as it is deployed survives SIGHUP at each moment of its start, but for the first
// of its shell. Guards against a reload that ends a relay which has just been started.
func TestReloadDuringStartDoesNotEndTheProcess(t *testing.T) {
	discovery, _ := newDiscoveryWithServer(t, "s1")
	config := writeConfig(t, func(c map[string]any) {
		c["listen"], c["discovery"] = "127.0.0.1:0", discovery.Address
	})
	const delays, apart = 12, 300 * time.Microsecond
	for moment := range delays {
		disturb := func(process *os.Process) {
			awaitExec(t, process)
			for until := time.Now().Add(time.Duration(moment) * apart); time.Now().Before(until); {
			}
			for range 3 {
				process.Signal(syscall.SIGHUP)
			}
		}
		cmd, address, messages := startCommandWith(t, deployedCommand(t, config), disturb)
		go func() {
			for range messages {
			}
		}()
		dial(t, address).sendAndExpect(t, "PING", "PONG")
		cmd.Process.Signal(syscall.SIGTERM)
		if err := cmd.Wait(); err != nil {
			t.Errorf("after SIGHUP at moment %d: %v", moment, err)
		}
	}
}

// awaitExec waits until a process's shell has become the program.
func awaitExec(t *testing.T, process *os.Process) {
	t.Helper()
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); {
		path, err := os.Readlink(fmt.Sprintf("/proc/%d/exe", process.Pid))
		if err == nil && path == os.Args[0] {
			return
		}
	}
	t.Fatal("the shell does not become the program")
}

// SIGTERM at any moment of the start ends the process: by the signal before it serves, and in order, with an
// answer to each request that it has read, once it does. Guards against a start that hangs or loses requests.
func TestShutdownDuringStart(t *testing.T) {
	discovery, _ := newDiscoveryWithServer(t, "s1")
	address := freeAddress(t)
	config := writeConfig(t, func(c map[string]any) {
		c["listen"], c["discovery"] = address, discovery.Address
		c["known"] = json.RawMessage(discovery.Snapshot())
	})
	const (
		moments, apart   = 6, 7 * time.Millisecond
		exitTimeout      = 10 * time.Second
		clientsStopAfter = 400 * time.Millisecond // after SIGTERM, by the platform
	)
	for moment := range moments {
		cmd := relayCommand(t, config)
		log := &bytes.Buffer{}
		cmd.Stderr = log
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		lost := make(chan string, 1)
		clients, end := context.WithCancel(t.Context())
		go func() { lost <- sendRequests(clients, address) }()
		time.Sleep(time.Duration(moment) * apart)
		for range 2 {
			cmd.Process.Signal(syscall.SIGTERM)
		}
		time.AfterFunc(clientsStopAfter, end)
		stuck := time.AfterFunc(exitTimeout, func() { cmd.Process.Kill() })
		err := cmd.Wait()
		stuck.Stop()
		status := cmd.ProcessState.Sys().(syscall.WaitStatus)
		endedBySIGTERM := status.Signaled() && status.Signal() == syscall.SIGTERM
		if serving := strings.Contains(log.String(), `"serving"`); err != nil && (serving || !endedBySIGTERM) {
			t.Errorf("SIGTERM at moment %d: %v, serving %v\n%s", moment, err, serving, log)
		}
		if text := <-lost; text != "" {
			t.Errorf("SIGTERM at moment %d: %s", moment, text)
		}
	}
}

// sendRequests sends requests, each on a connection of its own, until the context ends. It returns what became
// of one that was closed on without an answer, "" for none: one that was never read is reset.
func sendRequests(ctx context.Context, address string) string {
	for ctx.Err() == nil {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		conn.SetDeadline(time.Now().Add(10 * time.Second))
		fmt.Fprint(conn, openLine+"\r\n")
		line, err := bufio.NewReader(conn).ReadString('\n')
		conn.Close()
		if errors.Is(err, io.EOF) {
			return fmt.Sprintf("a request ended with %q and a close", line)
		}
	}
	return ""
}
