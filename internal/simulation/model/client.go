package model

import (
	"math"
	"slices"
	"time"

	"capersail/decide"
)

type client struct {
	req     decide.Request
	since   time.Duration // first try
	relay   *Relay
	at      *Server
	attempt int
	ends    time.Duration
	tries   int
}

// sorted lists the clients in the order of their names, for what is drawn over them.
func (f *Fleet) sorted() (list []*client) {
	for _, c := range f.requests {
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b *client) int { return int(a.req.ID) - int(b.req.ID) })
	return list
}

// arrive is a new client.
func (f *Fleet) arrive() {
	c := &client{since: f.Now}
	c.req = decide.Request{Class: 0, Tenant: decide.Tenant(f.rng.IntN(2)), Key: f.rng.Uint64() | 1, TimeLeft: 2 * time.Second,
		Group: 1 + uint64(math.Pow(f.rng.Float64(), 1.5)*float64(f.groups))}
	f.ask(c)
}

// Arrivals brings so many clients a second from now on.
func (f *Fleet) Arrivals(rate float64, until time.Duration) {
	f.After(time.Duration(f.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		if f.Now < until {
			f.arrive()
			f.Arrivals(rate, until)
		}
	})
}

// OpenAll puts connections on the first servers as they stood before the fleet's day, evenly through all relays.
func (f *Fleet) OpenAll(n, servers int) {
	for i := range n {
		group := 1 + f.rng.IntN(f.groups) // each on two servers
		at := (2*group + i%2) % servers
		if !f.cfg.GroupWork {
			at = i % servers
		}
		r, s := f.Relays[i%len(f.Relays)], f.Servers[at]
		f.lastID++
		c := &client{relay: r, at: s, ends: f.Now + time.Duration(f.rng.ExpFloat64()*float64(f.meanLifetime)),
			req: decide.Request{ID: f.lastID, Key: f.rng.Uint64() | 1, TimeLeft: time.Hour, Group: uint64(group)}}
		f.requests[c.req.ID], s.connections[c], s.idleSince = c, true, -1
		r.connections++
		f.deliver(r, r.incarnation, decide.Inherited{Request: c.req, Server: s.Server})
		c.req.TimeLeft = 2 * time.Second
	}
}

func (f *Fleet) ask(c *client) {
	r := f.pickRelay()
	if r == nil {
		f.After(f.Between(100*ms, 300*ms), func() { f.ask(c) })
		return
	}
	f.count("asks")
	f.lastID++
	c.req.ID, c.relay, c.attempt = f.lastID, r, 0
	f.requests[c.req.ID] = c
	r.arrived++
	f.deliver(r, r.incarnation, c.req)
}

// pickRelay draws a relay that is up, by weight.
func (f *Fleet) pickRelay() *Relay {
	sum := 0.0
	ok := func(r *Relay) bool { return r.up && (f.FrontAllows == nil || f.FrontAllows(r)) }
	for _, r := range f.Relays {
		if ok(r) {
			sum += r.Weight
		}
	}
	at, last := f.rng.Float64()*sum, (*Relay)(nil)
	for _, r := range f.Relays {
		if ok(r) {
			if last = r; at < r.Weight {
				break
			}
			at -= r.Weight
		}
	}
	return last
}

// returnDelay draws how long a client takes to come again once its connection has ended.
func (f *Fleet) returnDelay() time.Duration { return f.Between(170*ms, 1400*ms) }

// comeAgain brings a client back to any relay that is up.
func (f *Fleet) comeAgain(c *client, after time.Duration) {
	c.req.Returning = true
	if c.at == nil && c.tries == 0 {
		c.since = f.Now + after
	}
	c.tries++
	f.After(after, func() { f.ask(c) })
}

// moveAway ends a connection politely, if it is still at the server.
func (f *Fleet) moveAway(c *client, s *Server) {
	if c.at == s && s != nil {
		f.finish(c, decide.Cancelled)
		f.comeAgain(c, f.returnDelay())
	}
}

// EmptyRelay empties a relay within a time, as a drain by hand does.
func (f *Fleet) EmptyRelay(r *Relay, within time.Duration) {
	for _, c := range f.sorted() {
		if c.relay == r && c.at != nil {
			f.After(f.Between(within/8, within), func() {
				if c.relay == r {
					f.moveAway(c, c.at)
				}
			})
		}
	}
}

// finish ends a connection and lets its relay know how.
func (f *Fleet) finish(c *client, status decide.Status) {
	outcome := decide.Outcome{ID: c.req.ID, Server: c.at.Server, Status: status, Closed: true, Report: decide.NoLoadReport}
	f.deliverLater(c.relay, 0, outcome)
	f.disconnect(c)
}

// disconnect takes a client off its relay and its server, if it has one.
func (f *Fleet) disconnect(c *client) {
	if c.at != nil {
		c.relay.connections--
		if delete(c.at.connections, c); len(c.at.connections) == 0 {
			c.at.idleSince = f.Now
		}
	}
	c.at, c.relay = nil, nil
	delete(f.requests, c.req.ID)
}
