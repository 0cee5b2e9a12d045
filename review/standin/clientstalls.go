package main

import (
	"fmt"
	"sync"
	"time"
)

// The case client-stalls: alerts are pushed to clients that only listen. One client falls silent with its
// connection open, reads nothing for some seconds, and goes on. From then on it must get alerts again, or see
// that its stream has ended.
const (
	stallClients   = 4
	stallAlerts    = 40 * time.Millisecond   // between two alerts on a stream
	stallAlertSize = 2000                    // bytes of an alert's body
	stallBegins    = 5 * time.Second         // after the streams are open
	stallFor       = 5900 * time.Millisecond // how long it reads nothing
	stallWatched   = 40 * time.Second        // how long the client is watched after that
	stallKeepAlive = 2 * time.Second         // between two whitespace keepalives of a client
	endedLimit     = 7050 * time.Millisecond
)

// listener is a client that only listens, and what it has seen.
type listener struct {
	name   string
	client *xmppClient

	mu       sync.Mutex
	cutOff   bool
	returned *sync.Cond
	lastAt   time.Time // when the newest alert was read
	lastID   string
	alerts   int
	endedAt  time.Time
	end      error
}

func clientStalls(r *record, folder string, trouble bool) (int, error) {
	d, err := startAlerts(folder, 2, func(string, time.Time) {})
	if err != nil {
		return 0, err
	}
	defer d.relay.stop()
	var listeners []*listener
	for i := range stallClients {
		l := &listener{name: fmt.Sprintf("c%d", i+1)}
		l.returned = sync.NewCond(&l.mu)
		if l.client, err = d.open(r, l.name); err != nil {
			return 0, err
		}
		listeners = append(listeners, l)
		go l.read()
		go l.keepAlive()
	}
	open := time.Now()
	stop := make(chan struct{})
	defer close(stop)
	go pushRadar(d, stop)
	time.Sleep(time.Until(open.Add(stallBegins)))
	cut := listeners[0]
	if cut.count() == 0 {
		return 0, fmt.Errorf("%s got no alert before it fell silent", cut.name)
	}
	if trouble {
		r.add("%s: falls silent", cut.name)
		cut.setCutOff(true)
	}
	time.Sleep(stallFor)
	cut.setCutOff(false)
	back := time.Now()
	if trouble {
		r.add("%s: reads again", cut.name)
	}
	for time.Since(back) < stallWatched {
		time.Sleep(time.Second)
		for _, l := range listeners {
			r.add("%s", l.state())
		}
		r.add("streams at the servers: %d and %d", d.servers[0].open(), d.servers[1].open())
	}
	if d.relay.ended() {
		r.add("the relay has ended")
		return ruleBroken, nil
	}
	code := ruleHeld
	for _, l := range listeners {
		if !l.judge(r, back) {
			code = ruleBroken
		}
	}
	return code, nil
}

// pushRadar pushes alerts to every stream until stop.
func pushRadar(d *alertsDeployment, stop chan struct{}) {
	body := make([]byte, stallAlertSize)
	for i := range body {
		body[i] = 'a' + byte(i%26)
	}
	ticker := time.NewTicker(stallAlerts)
	defer ticker.Stop()
	for n := 1; ; n++ {
		for _, s := range d.servers {
			s.push(fmt.Sprintf("<message id='alert-%d'><body>%s</body></message>", n, body))
		}
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
	}
}

func (l *listener) setCutOff(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cutOff = on
	l.returned.Broadcast()
}

// awaitReturn blocks while the client is cut off.
func (l *listener) awaitReturn() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.cutOff {
		l.returned.Wait()
	}
}

// read reads the stream until it ends.
func (l *listener) read() {
	for {
		l.awaitReturn()
		in, err := l.client.next()
		l.mu.Lock()
		if err != nil {
			l.endedAt, l.end = time.Now(), err
			l.mu.Unlock()
			return
		}
		l.alerts++
		l.lastAt, l.lastID = time.Now(), in.ID
		l.mu.Unlock()
	}
}

// keepAlive sends whitespace (RFC 6120, 4.6.1), as clients do that only listen.
func (l *listener) keepAlive() {
	for {
		time.Sleep(stallKeepAlive)
		l.awaitReturn()
		if _, err := fmt.Fprint(l.client.conn, " "); err != nil {
			return
		}
	}
}

// count returns how many alerts the client has read.
func (l *listener) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.alerts
}

func (l *listener) state() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.end != nil {
		return fmt.Sprintf("%s: %d alerts, stream ended: %v", l.name, l.alerts, l.end)
	}
	return fmt.Sprintf("%s: %d alerts, newest %s read %.1f s ago, stream open", l.name, l.alerts, l.lastID,
		time.Since(l.lastAt).Seconds())
}

// judge reports whether the client, from its return on, was never longer than the limit without an alert on a
// stream that it sees open.
func (l *listener) judge(r *record, back time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.end != nil {
		r.add("%s: saw its stream end %.3f s after the return: %v", l.name, l.endedAt.Sub(back).Seconds(), l.end)
		return true
	}
	quiet := time.Since(l.lastAt)
	r.add("%s: stream open, no alert for %.3f s, limit %.3f s", l.name, quiet.Seconds(), endedLimit.Seconds())
	return quiet <= endedLimit
}
