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

// Idle clients use up the relay's descriptors while discovery is down: the relay continues to serve by its
// endpoint list, frees descriptors for clients with requests, and follows discovery when it is back. The
// process is limited to 64 descriptors by ulimit.
func TestDescriptorsExhaustedByIdleClientsWhileDiscoveryIsDown(t *testing.T) {
	address := freeAddress(t) // of discovery, which is not started yet
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
			t.Errorf("request %d behind 200 idle clients: got answer %q, want UP", i, got)
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
	d.Set("s2", s2.Address, "Ready") // and not s1
	for i, until := 100, time.Now().Add(20*time.Second); len(s2.FirstLines) == 0; i++ {
		openIdleClients(10)
		openRequest(i)
		if time.Now().After(until) {
			t.Fatal("no connection at the server of the restarted discovery in 20 s")
		}
		time.Sleep(20 * time.Millisecond)
	}
	cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil {
		t.Errorf("program after SIGTERM: exited with %v, want no error", err)
	}
}

// SIGTERM during a manual drain, and another during the shutdown: an open connection is migrated, a
// connection that is idle or has sent half a line is closed cleanly, and the program exits with code 0.
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
		t.Fatalf("POST drain/start: got status %d, want 2xx", code)
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
		t.Errorf("client with an open connection: got %q, error %v; want MOVE", got, err)
	}
	for name, c := range map[string]*client{"idle client": idle, "client that sent half a line": partial} {
		if got, err := c.in.ReadString('\n'); got != "" || err == nil || err.Error() != "EOF" {
			t.Errorf("%s: got %q, error %v; want EOF", name, got, err)
		}
		c.Close()
	}
	open1.Close()
	if err := cmd.Wait(); err != nil {
		t.Errorf("program after two SIGTERMs in a drain: exited with %v, want no error", err)
	}
}

// Package signals is initialized, and catches signals, before the large packages are. Their initialization
// takes milliseconds, and a SIGHUP that is not caught ends the process.
func TestSignalsAreCaughtFirst(t *testing.T) {
	cmd := exec.CommandContext(t.Context(), os.Args[0], "-test.run=^$")
	cmd.Env = append(os.Environ(), "GODEBUG=inittrace=1")
	trace, err := cmd.CombinedOutput()
	if err != nil {
		t.Fatalf("initialization trace: %v: %s", err, trace)
	}
	caught := strings.Index(string(trace), "init capersail/internal/signals ")
	for _, later := range []string{
		"github.com/prometheus/client_golang/prometheus",
		"github.com/hashicorp/memberlist",
		"gonum.org/v1/plot",
	} {
		if at := strings.Index(string(trace), "init "+later+" "); caught < 0 || at < caught {
			t.Errorf("%s is initialized at byte %d of the trace, package signals at %d; want signals first",
				later, at, caught)
		}
	}
}

// deployedCommand returns the command by which the platform starts the program, after deploy/balancer.toml.
func deployedCommand(t *testing.T, config string) *exec.Cmd {
	t.Helper()
	deploy, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	_, line, _ := strings.Cut(string(deploy), "\nrun = \"")
	line, _, found := strings.Cut(line, "\"\n")
	if !found || !strings.Contains(line, "bin/capersail") {
		t.Fatalf("deploy/balancer.toml: run is %q, want a command with bin/capersail", line)
	}
	line = strings.Replace(line, "bin/capersail", os.Args[0], 1)
	cmd := exec.CommandContext(t.Context(), "sh", "-c", line)
	cmd.Env = append(os.Environ(), "CAPERSAIL_RUN=1", "LB_CONFIG="+config)
	return cmd
}

// A process that is started by the deployed command survives SIGHUP at any time of its start once the shell
// has been replaced by the program. Guards against a reload that ends a relay which has just been started.
func TestReloadDuringStartDoesNotEndTheProcess(t *testing.T) {
	discovery, _ := newDiscoveryWithServer(t, "s1")
	config := writeConfig(t, func(c map[string]any) {
		c["listen"], c["discovery"] = "127.0.0.1:0", discovery.Address
	})
	const steps, stepLength = 12, 300 * time.Microsecond
	for step := range steps {
		disturb := func(process *os.Process) {
			awaitExec(t, process)
			for until := time.Now().Add(time.Duration(step) * stepLength); time.Now().Before(until); {
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
			t.Errorf("SIGHUP at step %d of the start: exited with %v, want no error", step, err)
		}
	}
}

// awaitExec waits until the shell of a process has been replaced by the program.
func awaitExec(t *testing.T, process *os.Process) {
	t.Helper()
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); {
		path, err := os.Readlink(fmt.Sprintf("/proc/%d/exe", process.Pid))
		if err == nil && path == os.Args[0] {
			return
		}
	}
	t.Fatal("the shell was not replaced by the program in 10 s")
}

// SIGTERM at any time of the start ends the process. Before the process serves, the signal itself may end it;
// once it serves, it shuts down gracefully and answers each request that it has read. Guards against a start
// that hangs or loses requests.
func TestShutdownDuringStart(t *testing.T) {
	discovery, _ := newDiscoveryWithServer(t, "s1")
	address := freeAddress(t)
	config := writeConfig(t, func(c map[string]any) {
		c["listen"], c["discovery"] = address, discovery.Address
		c["known"] = json.RawMessage(discovery.Snapshot())
	})
	const (
		steps, stepLength = 6, 7 * time.Millisecond
		exitTimeout       = 10 * time.Second
		clientsStopAfter  = 400 * time.Millisecond // after SIGTERM, when the platform sends no more clients
	)
	for step := range steps {
		cmd := relayCommand(t, config)
		log := &bytes.Buffer{}
		cmd.Stderr = log
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		lost := make(chan string, 1)
		clients, end := context.WithCancel(t.Context())
		go func() { lost <- sendRequests(clients, address) }()
		time.Sleep(time.Duration(step) * stepLength)
		for range 2 {
			cmd.Process.Signal(syscall.SIGTERM)
		}
		time.AfterFunc(clientsStopAfter, end)
		stuck := time.AfterFunc(exitTimeout, func() { cmd.Process.Kill() })
		err := cmd.Wait()
		stuck.Stop()
		status := cmd.ProcessState.Sys().(syscall.WaitStatus)
		endedBySIGTERM := status.Signaled() && status.Signal() == syscall.SIGTERM
		if serving := strings.Contains(log.String(), `"serving"`); err != nil &&
			(serving || !endedBySIGTERM) {
			t.Errorf("SIGTERM at step %d of the start: exited with %v, serving %v\n%s",
				step, err, serving, log)
		}
		if text := <-lost; text != "" {
			t.Errorf("SIGTERM at step %d of the start: %s", step, text)
		}
	}
}

// sendRequests sends requests, each on a connection of its own, until the context ends. It returns a
// description of the first request whose connection was closed without an answer, "" if there is none. A
// connection that the relay has not read from is reset instead, which is no error.
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
			return fmt.Sprintf("request got %q and then end of file, want an answer", line)
		}
	}
	return ""
}
