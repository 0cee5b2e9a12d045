package discovery

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"

	"capersail/internal/guard"
)

// errOlderVersion ends a watch whose first changes are of a version before the one held: this service counts its own.
var errOlderVersion = errors.New("changes of an older version than the one held")

// errWatchSilent ends a watch that had begun and brings no line any more. What it misses counts as told 6 s after it fell
// silent, so another is opened at once, and the module hears of it only if that one fails: its back-off, up to 7.5 s for
// 300 relays, is for a service that answers too many.
var errWatchSilent = errors.New("the watch has fallen silent")

// errUnreachable ends calls whose connections did not come up in time. Discovery has had no work with them, and the time that they
// took paces them: another is made at once, so that the first to get through is no back-off late.
var errUnreachable = errors.New("discovery cannot be reached")

// errConnectionRefused ends a call whose connection was refused: discovery does not serve.
var errConnectionRefused = errors.New("discovery refuses connections")

// errUnconfirmed ends a call that brought a list which a second call has to confirm.
var errUnconfirmed = errors.New("a list that takes back what is known")

// callError is what a call without an answer ends with. Only a refused connection shows that discovery is down: an answer of 503 and a
// reset may as well be those of one that serves others and has too many callers (protocol, Discovery).
func (a *response) callError() error {
	switch {
	case timedOut(a.err) && !a.connected:
		return fmt.Errorf("%w: %w", errUnreachable, a.err)
	case errors.Is(a.err, syscall.ECONNREFUSED):
		return fmt.Errorf("%w: %w", errConnectionRefused, a.err)
	}
	return a.err
}

// lossReason is why a call that ended with an error is over.
func (c *Client) lossReason(err error) guard.DiscoveryLoss {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.addressChanged:
		return guard.AddressChanged
	case errors.Is(err, errConnectionRefused):
		return guard.ConnectionRefused
	case errors.Is(err, errWatchSilent):
		return guard.WatchSilent
	}
	return guard.CallFailed
}

// deadlineExceeded tells whether this side's deadline ended a read. ETIMEDOUT is the kernel's word that the connection is broken.
func deadlineExceeded(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// timedOut tells whether time ran out.
func timedOut(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}
