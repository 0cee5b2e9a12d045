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

// connectFailures are what has become of the attempts to connect since the last connection.
type connectFailures struct {
	firstAt    time.Duration // of the first
	attempts   int
	anyRefused bool // of them, at least one was refused
}

// recordFailure notes why an attempt has failed, and tells whether a session without the changes that the
// client has seen has to do: all addresses have been asked for a session's time, so that the session is over,
// at least one has refused, and no one has accepted. The service may have been restored from a copy.
func (r *connectFailures) recordFailure(err error, now time.Duration, addresses int, timeout time.Duration) bool {
	if r.attempts == 0 {
		r.firstAt = now
	}
	r.attempts++
	var refused *refusedError
	r.anyRefused = r.anyRefused || errors.As(err, &refused)
	return r.anyRefused && r.attempts >= addresses && now >= r.firstAt+timeout
}
