// Package decide makes a relay's decisions: which server each request goes to, when an attempt is retried,
// when load is shed, when a connection migrates, when discovery is polled.
//
// # What it owns
//
// A Balancer owns what one relay knows to decide by: the endpoint list as applied, the requests and
// connections of this relay, load readings, ejections, retry tokens. Nothing of it survives a restart;
// what has to is handed in again as events (Inherited, a WatchEvent of kind CachedSnapshot).
//
// # Who calls it
//
// The relay's event loop calls Balancer.Handle with each event and does what the returned actions say; a
// simulation calls it in the same way. ProbePool and EjectedCount are for those who watch.
//
// # What it never does
//
// It has no clock, no goroutine, no lock and no I/O, and learns no name of a server. All chance comes from
// the seed: the same settings, seed and events bring the same actions (TestGoldenActions). It plans by
// the events handled so far; internal/guard enforces rules 2 and 3 and the bound on attempts right before an
// act, by what is known then. Both go by the same predicates: Status.NeverRan, DedupScope.Covers,
// Idempotency.RepeatIsHarmless.
//
// # Which file decides what
//
//	balancer.go       routes events to the parts below; decides nothing
//	environment.go    settings, time, random draws and actions, for all parts; timers
//	settings.go       settings, and what replaces those that make no sense
//	idempotency.go    what a repeat of a request does (rule 2)
//	events.go         what a Balancer is notified of
//	actions.go        what a Balancer wants done, and the reasons of rejections
//	view.go           what those see who watch
//
//	endpoints.go      endpoint list by zone: who may be given something new (rule 3)
//	requests.go       requests, queue, open connections
//	fleet.go          what the relays know of each other; a relay's budget share
//	arrivals.go       rate of requests
//	quota.go          what a connection adds to a load, by the tenants' quotas
//	load.go           load of a server between and without load reports
//	probes.go         probe pool: who is probed, how old a reading may be
//	discovery.go      polling of discovery: phase offset, backoff, wait for the first list
//
//	dispatch.go       the way of a request from its arrival to an attempt or a final answer
//	placement.go      cost of a server, who is allowed (rules 2 to 4), fallback without readings
//	affinity.go       subset of servers for a group, by rendezvous hashing
//	slow_start.go     warm-up of a server, and the fleet-wide budget for it (rule 4)
//	admission.go      whether there is capacity for one more, or load is shed
//	setup_timeout.go  how long a set-up may take
//	retry.go          whether a failed attempt is retried; retry budget, backoff
//	rejection.go      rejection or failure, and Retry-After
//	key_failures.go   failures of a key, for Retry-After
//	outlier.go        ejection of servers that fail, and their return
//	rebalance.go      migration of open connections off overloaded or silent servers
//
// A new rule gets a file and a type of its own, with the parts that it reads as fields; New puts it
// together. A new reason to eject a server is a method of outlierRule (outlier.go), called from
// probes.go, balancer.go or a rule of its own. TestGoldenActions breaks first when a decision changes, and
// TestFilesAreOnTheMap when a new file is not listed above.
package decide
