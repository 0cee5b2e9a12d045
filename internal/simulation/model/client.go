package model

import (
	"math"
	"slices"
	"time"

	"capersail/decide"
)

type client struct {
	req      decide.Request
	openedAt time.Duration // when the client first tried to connect
	relay    *Relay
	server   *Server
	attempt  int
	endsAt   time.Duration
	retries  int
}

// sortedClients returns the clients in the order of their request IDs, so that random draws over them are
// reproducible.
func (f *Fleet) sortedClients() (list []*client) {
	for _, c := range f.requests {
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b *client) int { return int(a.req.ID) - int(b.req.ID) })
	return list
}

// newClient creates a client and opens its request.
func (f *Fleet) newClient() {
	c := &client{openedAt: f.Now}
	c.req = decide.Request{
		Class: 0, Tenant: decide.Tenant(f.rng.IntN(2)), Key: f.rng.Uint64() | 1, TimeLeft: 2 * time.Second,
		Group: 1 + uint64(math.Pow(f.rng.Float64(), 1.5)*float64(f.groups))}
	f.openRequest(c)
}

// ScheduleArrivals creates clients at a mean rate a second until a time.
func (f *Fleet) ScheduleArrivals(rate float64, until time.Duration) {
	f.After(time.Duration(f.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		if f.Now < until {
			f.newClient()
			f.ScheduleArrivals(rate, until)
		}
	})
}

// OpenConnections opens n connections on the first servers, spread evenly over all relays, as connections
// that are older than the simulation.
func (f *Fleet) OpenConnections(n, servers int) {
	for i := range n {
		group := 1 + f.rng.IntN(f.groups) // the connections of a group are on two servers
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

// openRequest sends a client's request to a relay that is up, now or as soon as there is one.
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

// pickRelay draws a relay that is up and admitted by the front, in proportion to Weight; nil if there is
// none.
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

// returnDelay draws how long a client waits before it reconnects after its connection ended.
func (f *Fleet) returnDelay() time.Duration { return f.RandomDuration(170*ms, 1400*ms) }

// reconnectLater opens a client's request again after a delay, at any relay that is up.
func (f *Fleet) reconnectLater(c *client, after time.Duration) {
	c.req.Returning = true
	if c.server == nil && c.retries == 0 {
		c.openedAt = f.Now + after
	}
	c.retries++
	f.After(after, func() { f.openRequest(c) })
}

// migrate ends a client's connection gracefully, if it is still at the server, and lets the client reconnect.
func (f *Fleet) migrate(c *client, s *Server) {
	if c.server == s && s != nil {
		f.closeConnection(c, decide.Cancelled)
		f.reconnectLater(c, f.returnDelay())
	}
}

// EmptyRelay migrates all connections of a relay within a time, as a manual drain does.
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

// closeConnection ends a connection and reports its outcome to the relay.
func (f *Fleet) closeConnection(c *client, status decide.Status) {
	outcome := decide.Outcome{
		ID: c.req.ID, Server: c.server.Server, Status: status, Closed: true, Report: decide.NoLoadReport,
	}
	f.deliverLater(c.relay, 0, outcome)
	f.disconnect(c)
}

// disconnect removes a client from its relay and, if it has one, from its server.
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
