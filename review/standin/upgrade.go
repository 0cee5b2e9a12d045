package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"capersail/internal/testing/fake"
)

// platformConfig is a relay's configuration: the addresses of its clients and of discovery, and settings of
// the kind that the operators' pages show.
const platformConfig = `{"name":"n1","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
"known":{"generation":1,"reset":true,"instances":[]},
"settings":{"areas":["hall-a"],"zone":"hall-a","balancers":1,"me":0,"quantumMs":5,"discovery":"ask",
"classes":[{"name":"map-stream","semantics":"free","streaming":true,"group":"all","windowMs":5000,
"aimMs":800,"deadlineMs":3200,"worth":3}],
"realms":[{"name":"acme","portion":1.0}],
"limits":{"connectTimeoutMs":150,"maxRetryAfterMs":1500,"mostTries":6,"probes":true,"retryAfter":true},
"rules":{"askWithinMs":10000,"coldMs":8600,"fallMultiple":4,"overloadForMs":1500,"startCapacity":0.36,
"stopSendingWithinMs":500,"graceToAnswerMs":20},
"telemetry":{"how":"on_probe","fields":["x0","qps","queue"]},
"specifics":{"messageAimMs":[50],"reportX0":"load asked of the server over what it can do"}}}
`

// playUpgrade plays the replacement of a relay's process under load, where the relay is a member of a fleet.
func playUpgrade(r *rig) error {
	discovery, err := fake.NewDiscovery("127.0.0.1:0")
	if err != nil {
		return err
	}
	for i := range 3 {
		server, err := fake.NewEchoServer("127.0.0.1:0", "UP")
		if err != nil {
			return err
		}
		go func() {
			for range server.FirstLines {
			}
		}()
		discovery.Set(fmt.Sprintf("s-%d", i+1), server.Address, "Ready")
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0") // the platform holds the clients' socket
	if err != nil {
		return err
	}
	socket, err := listener.(*net.TCPListener).File()
	if err != nil {
		return err
	}
	address := listener.Addr().String()
	config, err := r.write("config.json", fmt.Sprintf(platformConfig, address, discovery.Address))
	if err != nil {
		return err
	}
	members, err := writeMembersFile(r)
	if err != nil {
		return err
	}
	start := func(name string) (*relayProcess, string, error) {
		admin, err := freeAddress()
		if err != nil {
			return nil, "", err
		}
		env := []string{"LB_CONFIG=" + config, "LB_ADMIN=" + admin, "LB_FD=3"}
		p, err := r.startRelay(name, "--members "+members, env, socket)
		return p, admin, err
	}
	older, admin, err := start("n1-old")
	if err != nil {
		return err
	}
	if !awaitReady(older, admin, 10*time.Second) {
		r.logTail(older, 1500)
		return fmt.Errorf("the first process is not ready")
	}
	r.note("the first process says yes")
	traffic := newTraffic(r, address)
	go traffic.run(50 * time.Millisecond)
	go traffic.report(time.Second)
	time.Sleep(5 * time.Second)
	broken := false
	if r.trouble {
		broken, err = replaceProcess(r, older, start)
		if err != nil {
			return err
		}
	}
	time.Sleep(5 * time.Second)
	traffic.stop()
	r.note("requests: %s", traffic.summary())
	if broken {
		return errBroken
	}
	return nil
}

// writeMembersFile writes the members' file of a fleet that has one relay so far, with the keys of
// deploy/members.toml.
func writeMembersFile(r *rig) (string, error) {
	bind, err := freeAddress()
	if err != nil {
		return "", err
	}
	return r.write("members.toml", fmt.Sprintf("site = \"casa-tiles\"\nbind = %q\nseeds = [%[1]q]\nstate = %q\n"+
		"socket = %q\nfounders = 0\n", bind, r.path("members"), r.path("members.sock")))
}

// replaceProcess starts the second process beside the first one, waits for its yes, and ends the first one as
// the operators' page says. It reports whether the second process has ended by itself.
func replaceProcess(
	r *rig, older *relayProcess, start func(string) (*relayProcess, string, error),
) (broken bool, err error) {
	newer, admin, err := start("n1-new")
	if err != nil {
		return false, err
	}
	if awaitReady(newer, admin, 6*time.Second) {
		r.note("the new process says yes; SIGTERM to the first one")
		older.cmd.Process.Signal(syscall.SIGTERM)
		if !older.hasEnded(3700 * time.Millisecond) {
			r.note("SIGKILL to the first process")
			older.end()
		}
	}
	if newer.hasEnded(3 * time.Second) {
		r.note("the new process has ended by itself: %v", newer.cmd.ProcessState)
		r.logTail(newer, 1500)
		return true, nil
	}
	return false, nil
}

// awaitReady asks a relay every 0.1 s whether it is ready. It returns false if the process ends or says no
// all the time.
func awaitReady(p *relayProcess, admin string, within time.Duration) bool {
	client := http.Client{Timeout: time.Second}
	for until := time.Now().Add(within); time.Now().Before(until); {
		if answer, err := client.Get("http://" + admin + "/ops/readiness"); err == nil {
			answer.Body.Close()
			if answer.StatusCode/100 == 2 {
				return true
			}
		}
		if p.hasEnded(100 * time.Millisecond) {
			return false
		}
	}
	return false
}

// traffic is clients of the platform's protocol that come at a steady rate.
type traffic struct {
	rig     *rig
	address string
	done    chan struct{}
	clients sync.WaitGroup

	up, refused, failed, unheard, lost atomic.Int64
}

func newTraffic(r *rig, address string) *traffic {
	return &traffic{rig: r, address: address, done: make(chan struct{})}
}

// run starts a client at each interval until stop.
func (t *traffic) run(every time.Duration) {
	for n := 1; ; n++ {
		select {
		case <-t.done:
			return
		case <-time.After(every):
		}
		t.clients.Go(func() { t.request(fmt.Sprintf("%s-%016x", "c", n)) })
	}
}

// report writes the counts into the record at each interval until stop.
func (t *traffic) report(every time.Duration) {
	for {
		select {
		case <-t.done:
			return
		case <-time.After(every):
			t.rig.note("requests so far: %s", t.summary())
		}
	}
}

func (t *traffic) stop() {
	close(t.done)
	t.clients.Wait()
}

func (t *traffic) summary() string {
	return fmt.Sprintf("%d up, %d refused, %d failed, %d not connected, %d ended with no answer", t.up.Load(),
		t.refused.Load(), t.failed.Load(), t.unheard.Load(), t.lost.Load())
}

// request opens one connection, keeps it for two seconds once it is up, and counts its outcome.
func (t *traffic) request(id string) {
	conn, err := net.DialTimeout("tcp", t.address, time.Second)
	if err != nil {
		t.unheard.Add(1)
		t.rig.note("%s: not connected: %v", id, err)
		return
	}
	defer conn.Close()
	fmt.Fprintf(conn, "OPEN %s %s c=map-stream,t=acme,d=3200\r\n", id, id[2:])
	conn.SetReadDeadline(time.Now().Add(4 * time.Second))
	line, err := bufio.NewReader(conn).ReadString('\n')
	switch {
	case err != nil:
		t.lost.Add(1)
		t.rig.note("%s: ended with no answer: %v", id, err)
	case strings.HasPrefix(line, "UP "):
		t.up.Add(1)
		time.Sleep(2 * time.Second)
	case strings.HasPrefix(line, "BUSY"):
		t.refused.Add(1)
	default:
		t.failed.Add(1)
		t.rig.note("%s: %s", id, strings.TrimSpace(line))
	}
}
