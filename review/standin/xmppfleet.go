package main

import (
	"fmt"
	"time"

	"capersail/internal/testing/fake"
)

const registryRoot = "/alerts/servers"

// alertFleet is a registry, servers and a relay on its XMPP front.
type alertFleet struct {
	rig      *rig
	registry *fake.ZooKeeper
	servers  []*alertServer
	address  string // where clients connect
}

// startAlertFleet starts a registry, servers that are listed as ready, and a relay whose file has the values
// of deploy/xmpp.toml.
func startAlertFleet(r *rig, servers int) (*alertFleet, error) {
	registry, err := fake.NewZooKeeper(registryRoot)
	if err != nil {
		return nil, err
	}
	f := &alertFleet{rig: r, registry: registry}
	for i := range servers {
		if err := f.addServer(fmt.Sprintf("s%d", i+1)); err != nil {
			return nil, err
		}
	}
	if f.address, err = freeAddress(); err != nil {
		return nil, err
	}
	file, err := r.write("xmpp.toml", fmt.Sprintf(`listen = %q
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
to = "alerts.example"
class = "alerts"
tenant = "weather"
`, f.address, registry.Address, registryRoot))
	if err != nil {
		return nil, err
	}
	if _, err = r.startRelay("r0", "--xmpp "+file, nil); err != nil {
		return nil, err
	}
	if err := awaitListening(f.address, 5*time.Second); err != nil {
		return nil, err
	}
	time.Sleep(500 * time.Millisecond) // the list of servers is read
	return f, nil
}

// addServer starts a server and registers it as ready.
func (f *alertFleet) addServer(name string) error {
	s, err := newAlertServer(f.rig, name)
	if err != nil {
		return err
	}
	f.servers = append(f.servers, s)
	f.registry.SetNode(name, s.node())
	f.rig.note("server %s registered as ready", name)
	return nil
}

// openStreams opens a number of streams, one after the other, and has each listen.
func (f *alertFleet) openStreams(n int) (all []*alertClient, err error) {
	for i := range n {
		c, err := openStream(f.rig, f.address, fmt.Sprintf("user%d", i+1), 8*time.Second)
		if err != nil {
			return nil, err
		}
		go c.listen()
		all = append(all, c)
		time.Sleep(30 * time.Millisecond)
	}
	return all, nil
}

// push sends an alert to each stream that is up, with a body of a length.
func (f *alertFleet) push(id string, length int) {
	body := make([]byte, length)
	for i := range body {
		body[i] = 'a' + byte(i%26)
	}
	for _, s := range f.servers {
		for _, t := range s.upStreams() {
			go s.send(t, "<message type='headline' id='%s' to='%s@alerts.example'><body>%s</body></message>",
				id, t.user, body)
		}
	}
}
