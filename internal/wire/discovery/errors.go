package discovery

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
)

var (
	// errOlderVersion ends a watch whose first watch event has an older version than the current list: the
	// service at this address counts its versions independently.
	errOlderVersion = errors.New("watch event has an older version than the current list")

	// errWatchSilent ends a watch that has delivered lists and then no line for silenceTimeout. The relay
	// counts as notified of the events missed 6 s after the silence began, so another watch is opened at
	// once, and the decision module is notified only if that one fails: its backoff, up to 7.5 s for 300
	// relays, is for a service that is overloaded.
	errWatchSilent = errors.New("watch fell silent: no line within the silence time-out")

	// errUnreachable ends a poll whose dials timed out. The dials put no load on discovery and their
	// time-outs limit the rate of calls, so another call is made at once. With a backoff the first successful
	// call would come later than necessary.
	errUnreachable = errors.New("discovery unreachable: dial timed out")

	// errConnectionRefused ends a call whose connection was refused: discovery is down.
	errConnectionRefused = errors.New("discovery refused the connection")

	// errUnconfirmed ends a call that delivered a list which a second call has to confirm.
	errUnconfirmed = errors.New("empty or older list than the current one: a second call must confirm it")

	// errMalformedList is the error of a list that is not valid JSON of the protocol.
	errMalformedList = errors.New("malformed endpoint list")
)

// statusError is the error of a response with a status other than 200.
type statusError struct{ code string }

func (e statusError) Error() string { return "discovery answered with HTTP status " + e.code }

// mayRetryImmediately reports whether another call is made at once after err, because err is no sign that
// discovery is overloaded.
func mayRetryImmediately(err error) bool {
	return errors.Is(err, errWatchSilent) || errors.Is(err, errUnconfirmed) || errors.Is(err, errUnreachable)
}

// callError classifies the error of a call that delivered no list. Only a refused connection shows that
// discovery is down: a reset, or a response with status 503, may also come from a service that is overloaded
// and still answers other relays (protocol, Discovery).
func (r *response) callError() error {
	switch {
	case timedOut(r.err) && !r.connected:
		return fmt.Errorf("%w: %w", errUnreachable, r.err)
	case errors.Is(r.err, syscall.ECONNREFUSED):
		return fmt.Errorf("%w: %w", errConnectionRefused, r.err)
	}
	return r.err
}

// deadlineExceeded reports whether a read ended by the deadline that this client has set. It is false for
// ETIMEDOUT, by which the kernel reports a broken connection.
func deadlineExceeded(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// timedOut reports whether err is a time-out, of this client or of the kernel.
func timedOut(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}
