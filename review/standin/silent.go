package main

import (
	"fmt"
	"time"
)

const (
	// registrySession is the session time-out of the servers in the registry: a server's node vanishes when
	// the server has been silent for so long.
	registrySession = 6 * time.Second
	// silenceLength is how long a machine is silent: the pages say 8.2 to 28 s.
	silenceLength = 20 * time.Second
	// keepAliveInterval is how often a client sends a space (RFC 6120, 4.6.1).
	keepAliveInterval = 10 * time.Second
)

// playSilent plays alert subscribers, which listen only, while the machine of one server in six is silent for
// 20 s. A stream at that machine must have been ended by the end of the run, 40 s after the silence began.
func playSilent(r *rig) error {
	f, err := startAlertFleet(r, 6)
	if err != nil {
		return err
	}
	go f.reportLoads()
	clients, err := f.openStreams(36)
	if err != nil {
		return err
	}
	for _, c := range clients {
		go c.keepAlive(keepAliveInterval)
	}
	alerts := 0
	pushFor := func(d time.Duration) {
		for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(2 * time.Second) {
			alerts++
			f.push(fmt.Sprintf("a%d", alerts), 400)
		}
	}
	pushFor(8 * time.Second)
	victim := f.busiestServer()
	affected, silentAt := victim.users(), time.Now()
	if r.trouble {
		f.fallSilent(victim)
	} else {
		clear(affected)
	}
	pushFor(40 * time.Second)
	time.Sleep(time.Second)
	stranded := 0
	for _, c := range clients {
		outcome, endedAt, lastAt := c.state()
		switch {
		case !affected[c.user]:
			if outcome != "" || c.received() < alerts {
				r.note("%s: at another server, %d of %d alerts, ended: %q", c.user, c.received(), alerts, outcome)
			}
		case outcome != "":
			r.note("%s: was at the silent machine; stream ended %d ms after the silence began: %s", c.user,
				endedAt.Sub(silentAt).Milliseconds(), outcome)
		default:
			stranded++
			r.note("%s: was at the silent machine; stream still open, %d of %d alerts, nothing came for %d ms",
				c.user, c.received(), alerts, time.Since(lastAt).Milliseconds())
		}
	}
	r.note("streams at the silent machine: %d; still open, with no outcome: %d", len(affected), stranded)
	if stranded > 0 {
		r.logTail(f.relay, 1500)
		return errBroken
	}
	return nil
}

// busiestServer returns the server with the most streams.
func (f *alertFleet) busiestServer() (busiest *alertServer) {
	for _, s := range f.allServers() {
		f.rig.note("server %s has %d streams", s.name, len(s.upStreams()))
		if busiest == nil || len(s.upStreams()) > len(busiest.upStreams()) {
			busiest = s
		}
	}
	return busiest
}

// fallSilent makes a server's machine fall silent. The registry ends the session of its node, and the machine
// comes back with a new process.
func (f *alertFleet) fallSilent(s *alertServer) {
	f.rig.note("the machine of server %s falls silent, with %d streams", s.name, len(s.upStreams()))
	s.setSilent()
	time.AfterFunc(registrySession, func() {
		f.rig.note("the registry has ended the session of server %s: its node vanishes", s.name)
		f.registry.SetNode(s.name, "")
	})
	time.AfterFunc(silenceLength, func() {
		f.rig.note("the machine of server %s is back, with a new process, and registers", s.name)
		s.setReturned()
		f.register(s, time.Now())
	})
}
