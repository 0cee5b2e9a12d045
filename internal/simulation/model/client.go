package model

import (
	"math"
	"slices"
	"time"

	"capersail/decide"
)

type client struct {
	req      decide.Request
	openedAt time.Duration // first attempt
	relay    *Relay
	server   *Server
	attempt  int
	endsAt   time.Duration
	retries  int
}

// sortedClients lists the clients in the order of their names, for what is drawn over them.
func (f *Fleet) sortedClients() (list []*client) {
	for _, c := range f.requests {
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b *client) int { return int(a.req.ID) - int(b.req.ID) })
	return list
}

// newClient is a new client.
func (f *Fleet) newClient() {
	c := &client{openedAt: f.Now}
	c.req = decide.Request{
		Class: 0, Tenant: decide.Tenant(f.rng.IntN(2)), Key: f.rng.Uint64() | 1, TimeLeft: 2 * time.Second,
		Group: 1 + uint64(math.Pow(f.rng.Float64(), 1.5)*float64(f.groups))}
	f.openRequest(c)
}

// Arrivals brings so many clients a second from now on.
func (f *Fleet) ScheduleArrivals(rate float64, until time.Duration) {
	f.After(time.Duration(f.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		if f.Now < until {
			f.newClient()
			f.ScheduleArrivals(rate, until)
		}
	})
}

// OpenAll puts connections on the first servers as they stood before the fleet's day, evenly through all
// relays.
func (f *Fleet) OpenConnections(n, servers int) {
	for i := range n {
		group := 1 + f.rng.IntN(f.groups) // each on two servers
		at := (2*group + i%2) % servers
		if !f.cfg.GroupWork {
			at = i % servers
		}
		r, s := f.Relays[i%len(f.Relays)], f.Servers[at]
		f.lastID++
		c := &client{relay: r, server: s,
			endsAt: f.Now + time.Duration(f.rng.ExpFloat64()*float64(f.meanLifetime)),
			req: decide.Request{ID: f.lastID, Key: f.rng.Uint64() | 1, TimeLeft: time.Hour,
				Group: uint64(group)}}
		f.requests[c.req.ID], s.connections[c], s.idleSince = c, true, -1
		r.connections++
		f.deliver(r, r.incarnation, decide.Inherited{Request: c.req, Server: s.Server})
		c.req.TimeLeft = 2 * time.Second
	}
}

// openRequest brings a client to a relay that is up, now or as soon as there is one.
func (f *Fleet) openRequest(c *client) {
	r := f.pickRelay()
	if r == nil {
		f.After(f.RandomDuration(100*ms, 300*ms), func() { f.openRequest(c) })
		return
	}
	f.count("asks")
	f.lastID++
	c.req.ID, c.relay, c.attempt = f.lastID, r, 0
	f.requests[c.req.ID] = c
	r.arrivedRequests++
	f.deliver(r, r.incarnation, c.req)
}

// pickRelay draws a relay that is up, by weight.
func (f *Fleet) pickRelay() *Relay {
	sum := 0.0
	ok := func(r *Relay) bool { return r.up && (f.FrontAdmits == nil || f.FrontAdmits(r)) }
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
func (f *Fleet) returnDelay() time.Duration { return f.RandomDuration(170*ms, 1400*ms) }

// reconnectLater brings a client back to any relay that is up.
func (f *Fleet) reconnectLater(c *client, after time.Duration) {
	c.req.Returning = true
	if c.server == nil && c.retries == 0 {
		c.openedAt = f.Now + after
	}
	c.retries++
	f.After(after, func() { f.openRequest(c) })
}

// migrate ends a connection gracefully, if it is still at the server.
func (f *Fleet) migrate(c *client, s *Server) {
	if c.server == s && s != nil {
		f.closeConnection(c, decide.Cancelled)
		f.reconnectLater(c, f.returnDelay())
	}
}

// EmptyRelay empties a relay within a time, as a manual drain does.
func (f *Fleet) EmptyRelay(r *Relay, within time.Duration) {
	for _, c := range f.sortedClients() {
		if c.relay == r && c.server != nil {
			f.After(f.RandomDuration(within/8, within), func() {
				if c.relay == r {
					f.migrate(c, c.server)
				}
			})
		}
	}
}

// closeConnection ends a connection and lets its relay know how.
func (f *Fleet) closeConnection(c *client, status decide.Status) {
	outcome := decide.Outcome{
		ID: c.req.ID, Server: c.server.Server, Status: status, Closed: true, Report: decide.NoLoadReport,
	}
	f.deliverLater(c.relay, 0, outcome)
	f.disconnect(c)
}

// disconnect takes a client off its relay and its server, if it has one.
func (f *Fleet) disconnect(c *client) {
	if c.server != nil {
		c.relay.connections--
		if delete(c.server.connections, c); len(c.server.connections) == 0 {
			c.server.idleSince = f.Now
		}
	}
	c.server, c.relay = nil, nil
	delete(f.requests, c.req.ID)
}
