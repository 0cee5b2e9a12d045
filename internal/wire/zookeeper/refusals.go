package zookeeper

import (
	"errors"
	"fmt"
	"time"
)

// refusedError says that the service has closed the connection instead of answering the connect request. A
// replica does so if it has not received all changes that the client has seen.
type refusedError struct{ err error }

func (e *refusedError) Error() string { return fmt.Sprintf("connect request refused: %v", e.err) }

func (e *refusedError) Unwrap() error { return e.err }

// connectFailures counts the failed attempts to connect since the last connection.
type connectFailures struct {
	firstAt    time.Duration // time of the first failure
	attempts   int
	anyRefused bool // at least one attempt ended with a refusedError
}

// record records why an attempt to connect has failed, and reports whether the session and the changes
// that the client has seen must be given up. They must if all addresses have been tried for the session
// time-out, so that the session has expired, at least one has refused, and none has accepted. The service may
// have been restored from a backup.
func (r *connectFailures) record(err error, now time.Duration, addresses int, timeout time.Duration) bool {
	if r.attempts == 0 {
		r.firstAt = now
	}
	r.attempts++
	var refused *refusedError
	r.anyRefused = r.anyRefused || errors.As(err, &refused)
	return r.anyRefused && r.attempts >= addresses && now >= r.firstAt+timeout
}
