package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"time"

	"capersail/internal/testing/fake"
)

const (
	rpcServers           = 10
	dashboards           = 6
	channelsPerDashboard = 200
	flapping             = 2 // servers at once: 20%
	flaps                = 80
	flapLength           = 500 * time.Millisecond // from a node's end to its return, and on to the next
	longestStack         = 16                     // lines of a panic in the record
)

// dashboard is the process of a dashboard.
type dashboard struct {
	name  string
	stdin io.WriteCloser
	lines chan string   // what it prints
	ended chan struct{} // closed when the process has ended
	cmd   *exec.Cmd
}

// startDashboard starts a dashboard and waits until it is connected.
func (r *rig) startDashboard(n int, registry string) (*dashboard, error) {
	d := &dashboard{
		name:  fmt.Sprintf("dashboard%d", n),
		lines: make(chan string, 4),
		ended: make(chan struct{}),
		cmd: exec.Command(os.Args[0], "dashboard", registry, fmt.Sprint(channelsPerDashboard),
			fmt.Sprint(dashboards)),
	}
	log, err := os.Create(r.path(d.name + ".log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	d.cmd.Stderr = log
	if d.stdin, err = d.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	stdout, err := d.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := d.cmd.Start(); err != nil {
		return nil, err
	}
	r.onClose(func() {
		d.cmd.Process.Kill()
		<-d.ended
	})
	go func() {
		for in := bufio.NewScanner(stdout); in.Scan(); {
			d.lines <- in.Text()
		}
		d.cmd.Wait()
		close(d.ended)
	}()
	select {
	case <-d.lines:
		return d, nil
	case <-d.ended:
		return nil, fmt.Errorf("%s has ended: %s", d.name, r.crashText(d))
	}
}

// hasEnded reports whether the process has ended.
func (d *dashboard) hasEnded() bool {
	select {
	case <-d.ended:
		return true
	default:
		return false
	}
}

// crashText returns how a dashboard has ended: its exit status, and the functions on the stack of a panic.
func (r *rig) crashText(d *dashboard) string {
	text, _ := os.ReadFile(r.path(d.name + ".log"))
	_, panicked, _ := strings.Cut(string(text), "panic:")
	out := fmt.Sprintf("%v: panic:", d.cmd.ProcessState)
	for i, line := range strings.Split(panicked, "\n") {
		if i < longestStack && line != "" && !strings.HasPrefix(line, "\t") { // without the files' paths
			out += line + "\n"
		}
	}
	return out
}

// playFlap plays dashboards that call servers through the plug-in, while the sessions of the servers in the
// registry flap, two at a time. No dashboard may end.
func playFlap(r *rig) error {
	registry, err := fake.NewZooKeeper(rpcRoot)
	if err != nil {
		return err
	}
	var servers []*rpcServer
	for i := range rpcServers {
		s, err := startRPCServer(fmt.Sprintf("s%d", i+1))
		if err != nil {
			return err
		}
		servers = append(servers, s)
		registry.SetNode(s.name, s.node())
	}
	var all []*dashboard
	for i := range dashboards {
		d, err := r.startDashboard(i+1, registry.Address)
		if err != nil {
			return err
		}
		all = append(all, d)
	}
	r.note("%d dashboards are connected, with %d channels each", len(all), channelsPerDashboard)
	for _, d := range all {
		fmt.Fprint(d.stdin, "c")
	}
	time.Sleep(2 * time.Second)
	ended := 0
	for n := 0; n < flaps && ended == 0; n++ {
		first := n * flapping % len(servers)
		if r.trouble {
			setNodes(registry, servers[first:first+flapping], false)
			time.Sleep(flapLength)
			setNodes(registry, servers[first:first+flapping], true)
			r.note("the nodes of servers %s and %s vanished and are back", servers[first].name, servers[first+1].name)
		}
		time.Sleep(flapLength)
		ended = countEnded(all)
	}
	for _, s := range servers {
		r.note("server %s: %d connections came, with probes", s.name, s.accepted.Load())
	}
	for _, d := range all {
		d.stdin.Close()
		select {
		case line := <-d.lines:
			r.note("%s: %s", d.name, line)
		case <-d.ended:
			r.note("%s has ended by itself: %s", d.name, r.crashText(d))
		}
	}
	if ended > 0 {
		return errBroken
	}
	return nil
}

// setNodes writes the nodes of servers, or removes them as the end of the servers' sessions does.
func setNodes(registry *fake.ZooKeeper, servers []*rpcServer, present bool) {
	for _, s := range servers {
		text := ""
		if present {
			text = s.node()
		}
		registry.SetNode(s.name, text)
	}
}

func countEnded(all []*dashboard) (n int) {
	for _, d := range all {
		if d.hasEnded() {
			n++
		}
	}
	return n
}
