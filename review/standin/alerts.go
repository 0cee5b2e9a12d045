package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

const (
	alertsHost = "alerts.example"
	alertsPath = "/alerts/servers"
)

// alertsDeployment is a small deployment of the XMPP front: a ZooKeeper, servers and one relay.
type alertsDeployment struct {
	zooKeeper *zooKeeper
	servers   []*xmppServer
	relay     *relayProcess
	address   string // of the relay
}

// startAlerts starts a deployment. Its relay's file is that of deploy/xmpp.toml, with free ports.
func startAlerts(folder string, servers int, received func(id string, at time.Time)) (*alertsDeployment, error) {
	d := &alertsDeployment{}
	var err error
	if d.zooKeeper, err = startZooKeeper(alertsPath); err != nil {
		return nil, err
	}
	for i := range servers {
		s, err := startXMPPServer(received)
		if err != nil {
			return nil, err
		}
		d.servers = append(d.servers, s)
		node := fmt.Sprintf(`{"address":%q,"lifecycle":"Ready","zone":"hall-a","startedAtMs":0}`, s.address)
		d.zooKeeper.set(fmt.Sprintf("s%d", i+1), node)
	}
	if d.address, err = freeAddress(); err != nil {
		return nil, err
	}
	file := filepath.Join(folder, "xmpp.toml")
	text := fmt.Sprintf(`listen = %q
plaintext = true
zone = "hall-a"
zones = ["hall-a", "hall-b", "hall-c"]
me = 0
relays = 1
sockets = 1024
silent_ms = 5000
connect_ms = 1000
max_retry_after_ms = 5000

[zookeeper]
servers = [%q]
path = %q
session_ms = 6000

[[class]]
name = "alerts"
setup_ms = 1000
deadline_ms = 8000
worth = 1

[[host]]
to = %q
class = "alerts"
tenant = "weather"
`, d.address, d.zooKeeper.address, alertsPath, alertsHost)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	if d.relay, err = startRelay(folder, "relay", []string{"--xmpp", file}, "LB_CONFIG="); err != nil {
		return nil, err
	}
	if err := awaitListener(d.address, d.relay); err != nil {
		d.relay.stop()
		return nil, err
	}
	return d, nil
}

// open opens a stream through the relay. A stream that is rejected is opened again, for 10 s.
func (d *alertsDeployment) open(r *record, name string) (*xmppClient, error) {
	for {
		c, err := openXMPP(d.address, alertsHost, nil)
		if err == nil {
			r.add("%s: stream open", name)
			return c, nil
		}
		if time.Since(r.began) > 10*time.Second {
			return nil, fmt.Errorf("%s: no stream: %w", name, err)
		}
		time.Sleep(200 * time.Millisecond)
	}
}
