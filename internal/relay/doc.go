// Package relay is the core of one front of a relay. It knows no wire.
//
// It owns the [Clock], the endpoint list with its lease, the state of every request ([RequestTable],
// [Request]) and the [EventLoop], which alone feeds the decision module (decide.Balancer) and carries out its
// actions. [SharedProbing] lets relays probe servers for each other.
//
// The fronts (internal/wire/platform, internal/wire/xmpp, plugin) call it from both sides: the client side
// opens a request and follows its state, the server side is a [ServerDialer] that makes attempts. Discovery
// (internal/wire/discovery, internal/wire/zookeeper) brings endpoint lists. internal/lifecycle puts it
// together, drains it and shuts it down; internal/admin and internal/observe/watch read its figures.
//
// The way of a request: Open or Resume (request_table.go), the decision module's Forward (decisions.go),
// Attach, BeginWrite, Establish and EndAttempt by the server side (server_side.go), ClientClosed by the
// client side (client_side.go). One lock guards the table and all its requests. Before each act the table
// asks internal/guard (guarding.go), by the facts of that moment.
//
// It never reads or writes a connection, never waits with the lock held, and never decides where a request
// goes, whether it is retried or when it is rejected: decide plans that, guard permits it.
package relay
