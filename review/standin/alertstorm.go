package main

import (
	"fmt"
	"sync"
	"time"
)

// The case alert-storm: gateways send messages at a steady rate while the servers push alerts, as they do in a
// storm. Each message must be passed on within a second.
const (
	stormGateways    = 6
	stormMessages    = 250 * time.Millisecond  // between two messages of a gateway
	stormPings       = 2 * time.Second         // between two pings of a gateway to its server
	stormCalmAlerts  = 1250 * time.Millisecond // between two alerts on a stream in calm weather
	stormStormAlerts = stormCalmAlerts * 2 / 3 // the same in a storm: half as much again
	stormBegins      = 5 * time.Second         // after the streams are open
	stormEnds        = 50 * time.Second        // after the streams are open
	stormStops       = 60 * time.Second        // after the streams are open
	lineHeldLimit    = 1050 * time.Millisecond // "over a second", and 50 ms on sockets
	stormLeastSent   = 500                     // stanzas without which nothing is judged
)

// stormLog has what happened to each stanza, by its id.
type stormLog struct {
	mu       sync.Mutex
	sent     map[string]time.Time // when its last byte was written
	received map[string]time.Time // when its server read it
	returned map[string]time.Time // when it came back as an error
	order    []string
	ended    map[string]time.Time // when a gateway's stream ended
}

func alertStorm(r *record, folder string, trouble bool) (int, error) {
	log := &stormLog{
		sent: map[string]time.Time{}, received: map[string]time.Time{}, returned: map[string]time.Time{},
		ended: map[string]time.Time{},
	}
	d, err := startAlerts(folder, 3, func(id string, at time.Time) {
		log.mu.Lock()
		defer log.mu.Unlock()
		if _, ofGateway := log.sent[id]; ofGateway {
			log.received[id] = at
		}
	})
	if err != nil {
		return 0, err
	}
	defer d.relay.stop()
	var clients []*xmppClient
	for i := range stormGateways {
		c, err := d.open(r, gatewayName(i))
		if err != nil {
			return 0, err
		}
		clients = append(clients, c)
	}
	open := time.Now()
	r.add("all streams open: %d, %d, %d at the servers", d.servers[0].open(), d.servers[1].open(), d.servers[2].open())
	stop := make(chan struct{})
	var senders sync.WaitGroup
	for i, c := range clients {
		go log.read(r, gatewayName(i), c)
		senders.Go(func() { log.send(gatewayName(i), c, stop) })
	}
	pushed := pushAlerts(r, d, open, trouble)
	close(stop)
	senders.Wait()
	time.Sleep(2 * time.Second)
	for _, c := range clients {
		c.conn.Close()
	}
	r.add("alerts pushed: %d to each stream", pushed)
	if d.relay.ended() {
		r.add("the relay has ended")
		return ruleBroken, nil
	}
	return log.judge(r)
}

func gatewayName(i int) string { return fmt.Sprintf("g%d", i+1) }

// pushAlerts pushes alerts until the case stops, and returns how many each stream got.
func pushAlerts(r *record, d *alertsDeployment, open time.Time, trouble bool) (pushed int) {
	storm := false
	for next := time.Now(); time.Since(open) < stormStops; {
		at := time.Since(open)
		if now := trouble && at >= stormBegins && at < stormEnds; now != storm {
			storm = now
			r.add("storm: %v", storm)
			next = time.Now()
		}
		if time.Now().Before(next) {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		pushed++
		for _, s := range d.servers {
			s.push(fmt.Sprintf("<message id='alert-%d'><body>storm warning %[1]d</body></message>", pushed))
		}
		next = next.Add(stormCalmAlerts)
		if storm {
			next = next.Add(stormStormAlerts - stormCalmAlerts)
		}
	}
	return pushed
}

// send sends a gateway's messages and pings until stop.
func (l *stormLog) send(name string, c *xmppClient, stop chan struct{}) {
	ticker := time.NewTicker(stormMessages)
	defer ticker.Stop()
	lastPing := time.Time{}
	for n := 1; ; n++ {
		id := fmt.Sprintf("%s-%d", name, n)
		text := fmt.Sprintf("<message id='%s' to='user@alerts.example'><body>report %d</body></message>", id, n)
		if time.Since(lastPing) >= stormPings {
			lastPing = time.Now()
			text = fmt.Sprintf("<iq type='get' id='%s'><ping xmlns='%s'/></iq>", id, pingNamespace)
		}
		l.mu.Lock()
		l.sent[id] = time.Now()
		l.order = append(l.order, id)
		l.mu.Unlock()
		_, err := fmt.Fprint(c.conn, text)
		l.mu.Lock()
		l.sent[id] = time.Now()
		if err != nil { // not written: the stream has ended
			delete(l.sent, id)
		}
		l.mu.Unlock()
		if err != nil {
			return
		}
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
	}
}

// read reads a gateway's stream until it ends.
func (l *stormLog) read(r *record, name string, c *xmppClient) {
	for {
		in, err := c.next()
		at := time.Now()
		l.mu.Lock()
		if err != nil {
			l.ended[name] = at
			l.mu.Unlock()
			r.add("%s: stream ended: %v", name, err)
			return
		}
		if _, own := l.sent[in.ID]; own && in.Type == "error" {
			l.returned[in.ID] = at
		}
		l.mu.Unlock()
	}
}

// judge writes what was sent and received, and returns whether a stanza was held back over the limit. A stanza
// that came back as an error, or whose stream ended, counts until then.
func (l *stormLog) judge(r *record) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	sent, late, longest := 0, 0, time.Duration(0)
	for _, id := range l.order {
		at, ok := l.sent[id]
		if !ok {
			continue
		}
		sent++
		end, how := time.Now(), "never received"
		if t, ok := l.received[id]; ok {
			end, how = t, "received by the server"
		} else if t, ok := l.returned[id]; ok {
			end, how = t, "returned as an error"
		} else if t, ok := l.ended[id[:2]]; ok {
			end, how = t, "stream ended"
		}
		held := end.Sub(at)
		longest = max(longest, held)
		mark := ""
		if held > lineHeldLimit+measuringError {
			late++
			mark = " OVER THE LIMIT"
		}
		r.add("%s sent at %.3f, %s after %.3f s%s", id, r.since(at), how, held.Seconds(), mark)
	}
	r.add("stanzas sent: %d; received by a server: %d; returned: %d; held back over %.2f s: %d; longest: %.3f s",
		sent, len(l.received), len(l.returned), lineHeldLimit.Seconds(), late, longest.Seconds())
	switch {
	case late > 0:
		return ruleBroken, nil
	case sent < stormLeastSent:
		return 0, fmt.Errorf("only %d stanzas were sent", sent)
	}
	return ruleHeld, nil
}
