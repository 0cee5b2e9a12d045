// Package discovery is the client of the platform's discovery service. It polls and watches the endpoint
// list: HTTP/1.1 over net and bufio, with JSON objects in a chunked body.
//
// The package owns the connection to discovery, the version of the newest list applied, and the current
// address of discovery. Package lifecycle creates its [Client], starts [Client.Run] and changes the address
// on a reload; the relay's event loop requests a watch or a fetch. Lists and the state of the watch are
// passed to the relay's request table.
//
// It does not decide when to poll after a failure, and does not place requests: the decision module does
// both. The exceptions are a call whose failure is no sign that discovery is overloaded (a silent watch, a
// connection that was not established in time) and a list that a second call has to confirm: after those the
// next call is made at once.
package discovery
