// Package relay is the protocol-independent core of a relay. Each protocol that a relay speaks has a front,
// which has its own instance of this core.
//
// The package contains the [Clock], the endpoint list with its lease, the state of every request
// ([RequestTable], [Request]), and the [EventLoop]. The event loop is the only caller of the decision module
// (decide.Balancer) and carries out the actions that the module returns. [SharedProbing] lets relays probe
// servers for each other.
//
// The fronts (internal/wire/platform, internal/wire/xmpp, plugin) use the package from two sides. The client
// side opens a request and follows its state. The server side is a [ServerDialer] that makes the attempts.
// Discovery (internal/wire/discovery, internal/wire/zookeeper) delivers endpoint lists. internal/lifecycle
// creates the parts, drains them and shuts them down. internal/admin and internal/observe/watch read the
// counters.
//
// A request passes through these calls: Open or Resume (request_table.go), the decision module's Forward
// (decisions.go), Attach, BeginWrite, Establish and EndAttempt by the server side (server_side.go), and
// ClientClosed by the client side (client_side.go). One lock guards the table and all its requests. Before
// each action the table asks internal/guard for permission (guarding.go), based on the current state.
//
// The package never reads from or writes to a connection and never blocks while it holds the lock. It does
// not decide where a request goes, whether it is retried, or when it is rejected: package decide plans that,
// and internal/guard permits it.
package relay
