// Package discovery polls and watches the platform's endpoint list: HTTP/1.1 over net and bufio, JSON objects
// in a chunked body.
//
// It owns the connection to discovery, the version of the newest list taken in, and the address that
// discovery has now. The lifecycle package makes its [Client], starts [Client.Run] and moves it to another
// address on a reload; the relay's event loop asks it for a watch or a fetch. Lists and the state of the
// watch go to the relay's request table.
//
// It never decides when to poll after a failure, and never places a request: the decision module does both.
// The one exception is a call that says nothing of discovery's load (a silent watch, a connection that did
// not come up), which is made again at once.
package discovery
