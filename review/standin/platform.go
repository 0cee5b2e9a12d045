package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// platformSettings are settings of a small deployment whose lists are asked for.
const platformSettings = `{
  "areas": ["hall-a"], "zone": "hall-a", "balancers": 1, "me": 0, "quantumMs": 5, "discovery": "ask",
  "classes": [{"name": "map-stream", "semantics": "free", "group": "all", "windowMs": 5000, "streaming": true,
    "aimMs": 800, "deadlineMs": 3200, "lateWorth": 0, "worth": 3}],
  "realms": [{"name": "acme", "portion": 1.0, "allowancePerS": 1}],
  "limits": {"cancelling": true, "connectTimeoutMs": 150, "maxRetryAfterMs": 1500, "mayDuplicate": false,
    "mostTries": 6, "peers": false, "probes": true, "retryAfter": true, "maxOpen": 1000000},
  "rules": {"askWithinMs": 10000, "coldMs": 8600, "fallMultiple": 4, "overloadForMs": 1500,
    "startCapacity": 0.36, "stopSendingWithinMs": 500, "graceToAnswerMs": 20},
  "prices": {"crossZone": 0.03, "probe": 0.0016, "moves": 0.03, "discovery": 0.02},
  "telemetry": {"how": "on_probe", "fields": ["x0", "rate", "q"]},
  "specifics": {"groups": false, "mode": "proxy", "messageAimMs": [50], "reportX0": "load asked of the server over what it can do",
    "reportX1": "seconds of work piled up"}
}`

// platformRelay is a relay of the platform's front.
type platformRelay struct {
	*relayProcess
	address, config string
}

// writeConfig writes the relay's configuration.
func (p *platformRelay) writeConfig(discovery, known, settings string) error {
	text := fmt.Sprintf(`{"name":"n1","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":%s,"settings":%s}`,
		p.address, discovery, known, settings)
	next := p.config + ".next"
	if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(next, p.config)
}

// startPlatformRelay starts a relay and waits until it answers PING with PONG.
func startPlatformRelay(folder, discovery, known, settings string) (*platformRelay, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	p := &platformRelay{address: address, config: filepath.Join(folder, "config.json")}
	if err := p.writeConfig(discovery, known, settings); err != nil {
		return nil, err
	}
	env := []string{"LB_NAME=n1", "LB_LISTEN=" + address, "LB_DISCOVERY=" + discovery, "LB_CONFIG=" + p.config}
	if p.relayProcess, err = startRelay(folder, "n1", nil, env...); err != nil {
		return nil, err
	}
	for range 100 {
		c, err := net.DialTimeout("tcp", address, time.Second)
		if err == nil {
			fmt.Fprint(c, "PING\r\n")
			c.SetReadDeadline(time.Now().Add(time.Second))
			line, _ := bufio.NewReader(c).ReadString('\n')
			c.Close()
			if strings.TrimSpace(line) == "PONG" {
				return p, nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	p.stop()
	return nil, fmt.Errorf("relay not ready at %s", address)
}

// tileClients are clients that each open a connection, keep it for a time and send a line every 2 s.
type tileClients struct {
	mu      sync.Mutex
	answers map[string]int // by the first word
}

// open opens one connection and keeps it.
func (t *tileClients) open(address, id string, keep time.Duration) {
	answer := "none"
	defer func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.answers[answer]++
	}()
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		answer = "refused"
		return
	}
	defer c.Close()
	in := bufio.NewReader(c)
	fmt.Fprintf(c, "OPEN %s 7f3a9c21e0b4d655 c=map-stream,t=acme,d=3200\r\n", id)
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	line, err := in.ReadString('\n')
	if err != nil {
		return
	}
	answer, _, _ = strings.Cut(strings.TrimSpace(line), " ")
	if answer != "UP" {
		return
	}
	for end := time.Now().Add(keep); time.Now().Before(end); {
		c.SetReadDeadline(time.Now().Add(2 * time.Second))
		line, err := in.ReadString('\n')
		if err == nil && strings.TrimSpace(line) == "MOVE" {
			answer = "MOVE"
			return
		}
		if err != nil && !os.IsTimeout(err) {
			answer = "cut"
			return
		}
		if _, err := fmt.Fprint(c, "hello\r\n"); err != nil {
			return
		}
	}
}
