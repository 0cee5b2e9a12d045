package discovery

import (
	"context"
	"errors"
	"sync"

	"capersail/internal/guard"
)

// callTarget holds the address for calls and the cancellation of the call in progress. Any goroutine may
// change the address; only Run begins calls.
type callTarget struct {
	restartSignal chan struct{} // holds a token while a restart of the call is pending

	mu             sync.Mutex
	address        string
	addressChanged bool               // since the last call began
	cancelCall     context.CancelFunc // cancels the call in progress; nil before the first
}

func newCallTarget(address string) callTarget {
	return callTarget{address: address, restartSignal: make(chan struct{}, 1)}
}

// setAddress changes the address and restarts the call, unless the address is the current one.
func (t *callTarget) setAddress(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if address == t.address {
		return
	}
	t.address, t.addressChanged = address, true
	t.restartLocked()
}

// restartCall cancels the call in progress and makes Run begin another at once.
func (t *callTarget) restartCall() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.restartLocked()
}

// restartLocked is restartCall for callers that hold mu.
func (t *callTarget) restartLocked() {
	select {
	case t.restartSignal <- struct{}{}:
	default:
	}
	if t.cancelCall != nil {
		t.cancelCall()
	}
}

// restartPending reports whether a restart has been requested and not begun yet.
func (t *callTarget) restartPending() bool { return len(t.restartSignal) > 0 }

// beginCall returns the context and the address of a new call, and whether a restart was pending, which the
// call fulfils.
func (t *callTarget) beginCall(ctx context.Context) (call context.Context, address string, restarted bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	call, t.cancelCall = context.WithCancel(ctx)
	t.addressChanged = false
	select {
	case <-t.restartSignal:
		restarted = true
	default:
	}
	return call, t.address, restarted
}

// endCall releases the context of the call. Only Run calls it, after beginCall.
func (t *callTarget) endCall() { t.cancelCall() }

// lossReason classifies why a call ended, by its error and by changes of the address since it began.
func (t *callTarget) lossReason(err error) guard.DiscoveryLoss {
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
