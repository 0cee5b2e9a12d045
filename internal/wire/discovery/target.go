package discovery

import (
	"context"
	"errors"
	"sync"

	"capersail/internal/guard"
)

// target is the address that calls go to, and the call that is out. Any goroutine may change it; only Run
// begins calls.
type target struct {
	restart chan struct{} // holds one token while a restart of the call waits to be taken up

	mu             sync.Mutex
	address        string
	addressChanged bool               // since the last call began
	cancelCall     context.CancelFunc // ends the call that is out; nil before the first
}

func newTarget(address string) target {
	return target{address: address, restart: make(chan struct{}, 1)}
}

// set changes the address, and restarts the call if that is another one.
func (t *target) set(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if address == t.address {
		return
	}
	t.address, t.addressChanged = address, true
	t.restartLocked()
}

// restartCall ends the call that is out and has Run make another at once.
func (t *target) restartCall() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.restartLocked()
}

func (t *target) restartLocked() {
	select {
	case t.restart <- struct{}{}:
	default:
	}
	if t.cancelCall != nil {
		t.cancelCall()
	}
}

// restartPending tells whether a restart waits to be taken up.
func (t *target) restartPending() bool { return len(t.restart) > 0 }

// beginCall takes up the present address for one call, and tells whether a restart was waiting.
func (t *target) beginCall(ctx context.Context) (call context.Context, address string, restarted bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	call, t.cancelCall = context.WithCancel(ctx)
	t.addressChanged = false
	select {
	case <-t.restart:
		restarted = true
	default:
	}
	return call, t.address, restarted
}

// endCall gives back what the call held. Only Run calls it, after beginCall.
func (t *target) endCall() { t.cancelCall() }

// lossReason is why a call that ended with an error is over.
func (t *target) lossReason(err error) guard.DiscoveryLoss {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.addressChanged:
		return guard.AddressChanged
	case errors.Is(err, errConnectionRefused):
		return guard.ConnectionRefused
	case errors.Is(err, errWatchSilent):
		return guard.WatchSilent
	}
	return guard.CallFailed
}
