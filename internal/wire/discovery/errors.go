package discovery

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
)

var (
	// errOlderVersion ends a watch whose first watch event is of a version before the one held: this service
	// counts its own.
	errOlderVersion = errors.New("watch event of an older version than the list held")

	// errWatchSilent ends a watch that had begun and brings no line any more. What it misses counts as
	// notified 6 s after it fell silent, so another is opened at once, and the decision module is
	// notified only if that one fails: its backoff, up to 7.5 s for 300 relays, is for a service that answers
	// too many.
	errWatchSilent = errors.New("watch fell silent")

	// errUnreachable ends calls whose connections did not come up in time. Discovery has had no work with
	// them, and the time that they took paces them: another is made at once, so that the first to get through
	// is no backoff late.
	errUnreachable = errors.New("discovery unreachable")

	// errConnectionRefused ends a call whose connection was refused: discovery does not serve.
	errConnectionRefused = errors.New("discovery refused the connection")

	// errUnconfirmed ends a call that brought a list which a second call has to confirm.
	errUnconfirmed = errors.New("list takes back what is known, to be confirmed by a second call")

	// errMalformedList is a list that is no JSON of the protocol.
	errMalformedList = errors.New("malformed list")
)

// statusError is a response with another status than 200.
type statusError struct{ code string }

func (e statusError) Error() string { return "discovery answered " + e.code }

// retriedAtOnce tells whether another call is made at once after an error: it says nothing of discovery's
// load.
func retriedAtOnce(err error) bool {
	return errors.Is(err, errWatchSilent) || errors.Is(err, errUnconfirmed) || errors.Is(err, errUnreachable)
}

// callError is what a call without a response ends with. Only a refused connection shows that discovery is
// down: a response of 503 and a reset may as well be those of one that serves others and has too many callers
// (protocol, Discovery).
func (r *response) callError() error {
	switch {
	case timedOut(r.err) && !r.connected:
		return fmt.Errorf("%w: %w", errUnreachable, r.err)
	case errors.Is(r.err, syscall.ECONNREFUSED):
		return fmt.Errorf("%w: %w", errConnectionRefused, r.err)
	}
	return r.err
}

// deadlineExceeded tells whether this side's deadline ended a read. ETIMEDOUT is the kernel's: the connection
// is broken.
func deadlineExceeded(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// timedOut tells whether time ran out, on this side or in the kernel.
func timedOut(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}
