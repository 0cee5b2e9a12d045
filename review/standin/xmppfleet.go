package main

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"capersail/internal/testing/fake"
)

const registryRoot = "/alerts/servers"

// alertFleet is a registry, servers and a relay on its XMPP front.
type alertFleet struct {
	rig      *rig
	registry *fake.ZooKeeper
	relay    *relayProcess
	address  string // where clients connect

	mu      sync.Mutex
	servers []*alertServer
}

// allServers returns the servers that have been started.
func (f *alertFleet) allServers() []*alertServer {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.servers)
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
		if _, err := f.addServer(fmt.Sprintf("s%d", i+1), time.Time{}); err != nil {
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
	if f.relay, err = r.startRelay("r0", "--xmpp "+file, nil); err != nil {
		return nil, err
	}
	if err := awaitListening(f.address, 5*time.Second); err != nil {
		return nil, err
	}
	time.Sleep(500 * time.Millisecond) // the list of servers is read
	return f, nil
}

// addServer starts a server and registers it as ready.
func (f *alertFleet) addServer(name string, startedAt time.Time) (*alertServer, error) {
	s, err := newAlertServer(f.rig, name)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.servers = append(f.servers, s)
	f.mu.Unlock()
	f.register(s, startedAt)
	return s, nil
}

// register writes a server's node for the first time. The zero time stands for a start long ago.
func (f *alertFleet) register(s *alertServer, startedAt time.Time) {
	s.mu.Lock()
	s.startedAt = startedAt
	s.mu.Unlock()
	f.registry.SetNode(s.name, s.node())
	f.rig.note("server %s registered as ready", s.name)
}

// reportLoads has each server write its load into its node once a second, as long as it is not silent.
func (f *alertFleet) reportLoads() {
	for range time.Tick(time.Second) {
		for _, s := range f.allServers() {
			if !s.isSilent() {
				f.registry.SetNode(s.name, s.node())
			}
		}
	}
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
	for _, s := range f.allServers() {
		for _, t := range s.upStreams() {
			go s.send(t, "<message type='headline' id='%s' to='%s@alerts.example'><body>%s</body></message>",
				id, t.user, body)
		}
	}
}
