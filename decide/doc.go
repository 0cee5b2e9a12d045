// Package decide makes a relay's decisions: which server each request goes to, when an attempt is retried,
// when load is shed, when a connection migrates, when discovery is polled.
//
// # What it owns
//
// A Balancer owns the state that one relay decides by: the endpoint list as applied, the requests and
// connections of this relay, load readings, ejections, retry tokens. None of it survives a restart; state
// that has to survive is passed in again as events (Inherited, and a WatchEvent of kind
// CachedSnapshot).
//
// # Who calls it
//
// The relay's event loop calls Balancer.Handle with each event and carries out the returned actions; a
// simulation calls it in the same way. ProbePool and EjectedCount are read-only views for monitoring.
//
// # What it never does
//
// It has no clock, no goroutine, no lock and no I/O, and sees no server names. All randomness comes from the
// seed: the same settings, seed and events produce the same actions (TestGoldenActions). It plans by the
// events handled so far; internal/guard enforces rules 2 and 3 and the limit on attempts again immediately
// before an action is carried out, by what is known then. Both use the same predicates: Status.NeverRan,
// DedupScope.Covers, Idempotency.RepeatIsHarmless.
//
// # Which file decides what
//
//	balancer.go       routes each event to the parts below; decides nothing itself
//	environment.go    state shared by all parts: settings, time, random numbers, actions; timers
//	settings.go       settings, and the replacement of invalid ones
//	idempotency.go    effect of repeating a request (rule 2)
//	events.go         events that a Balancer handles
//	actions.go        actions that a Balancer returns, and the reasons of rejections
//	view.go           read-only views for monitoring
//
//	endpoints.go      endpoint list by zone: servers that may get new attempts (rule 3)
//	requests.go       requests, queue, open connections
//	fleet.go          state of the other relays; this relay's budget share
//	arrivals.go       request rate
//	quota.go          load that a connection adds to a server, by the tenants' quotas
//	load.go           load of a server between load reports and without them
//	probes.go         probe pool: which servers are probed, how old a reading may be
//	discovery.go      polling of discovery: phase offset, backoff, wait for the first list
//
//	dispatch.go       path of a request from its arrival to an attempt or a final answer
//	placement.go      cost of a server, eligible servers (rules 2 to 4), fallback without readings
//	affinity.go       subset of servers for a group, by rendezvous hashing
//	slow_start.go     slow start of a server, and the fleet-wide budget for it (rule 4)
//	admission.go      whether there is capacity for one more connection, or load is shed
//	setup_timeout.go  time-out for the set-up of a connection
//	retry.go          whether a failed attempt is retried; retry budget, backoff
//	rejection.go      rejection or failure, and Retry-After
//	key_failures.go   consecutive failures by idempotency key, for Retry-After
//	outlier.go        ejection of failing servers, and their return
//	rebalance.go      migration of open connections off overloaded or silent servers
//
// A new rule gets a file and a type of its own, with the parts that it reads as fields; New constructs it. A
// new reason to eject a server is a method of outlierRule (outlier.go), called from probes.go, balancer.go or
// a rule of its own. TestGoldenActions fails when a decision changes, TestFilesAreOnTheMap when a new file is
// not listed above.
package decide
