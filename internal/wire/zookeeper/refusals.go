package zookeeper

import (
	"errors"
	"fmt"
	"time"
)

// refusedError says that the service has ended the connection in place of an answer to the handshake, as one
// does that has not heard of all the changes that the client has seen.
type refusedError struct{ err error }

func (e *refusedError) Error() string { return fmt.Sprintf("connect response: %v", e.err) }

func (e *refusedError) Unwrap() error { return e.err }

// refusals are what has become of the attempts to connect since the last connection.
type refusals struct {
	since    time.Duration // of the first
	attempts int
	refused  bool // of them, at least one was refused
}

// exhaustedBy notes why an attempt has failed, and tells whether a session without the changes that the
// client has seen has to do: all addresses have been asked for a session's time, so that the session is over,
// at least one has refused, and no one has accepted. The service may have been restored from a copy.
func (r *refusals) exhaustedBy(err error, now time.Duration, addresses int, timeout time.Duration) bool {
	if r.attempts == 0 {
		r.since = now
	}
	r.attempts++
	var refused *refusedError
	r.refused = r.refused || errors.As(err, &refused)
	return r.refused && r.attempts >= addresses && now >= r.since+timeout
}
