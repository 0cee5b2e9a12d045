package scale

import (
	"fmt"
	"time"

	"capersail/internal/fleet/membership"
)

// State is the progress of a fleet towards one agreed view.
type State struct {
	Holding int    // relays with a view of exactly the running relays
	Agreed  int    // relays of these whose budget shares have reached their target
	Epochs  int    // number of different epochs that relays hold
	Highest uint64 // the highest epoch that a relay holds
}

// State returns the state of the running relays.
func (f *Fleet) State() (s State) {
	nodes := f.running()
	epochs := map[uint64]bool{}
	for _, node := range nodes {
		r := node.FleetEstimate()
		epochs[r.Epoch] = true
		s.Highest = max(s.Highest, r.Epoch)
		if r.Epoch > 0 && r.Relays == len(nodes) {
			s.Holding++
			if r.Phase == membership.PhaseAgreed {
				s.Agreed++
			}
		}
	}
	s.Epochs = len(epochs)
	return s
}

// Dropped returns how many messages the running relays have dropped, by reason.
func (f *Fleet) Dropped() map[string]uint64 {
	sum := map[string]uint64{}
	for _, node := range f.running() {
		for reason, n := range node.Report().DroppedPackets {
			sum[reason] += n
		}
	}
	return sum
}

// hasOneView reports whether all running relays hold one view of exactly these relays. With cells, each has
// to hold its cell's view and to count exactly the running relays in the whole fleet.
func (f *Fleet) hasOneView() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	running := 0
	for _, r := range f.relays {
		if r.node != nil {
			running++
		}
	}
	epochs := map[string]uint64{}
	for i, r := range f.relays {
		if r.node == nil {
			continue
		}
		cell := ""
		if f.cells != nil {
			cell = f.cfg.cellOf(i)
		}
		estimate := r.node.FleetEstimate()
		if epochs[cell] == 0 {
			epochs[cell] = estimate.Epoch
		}
		if estimate.Epoch == 0 || estimate.Epoch != epochs[cell] || estimate.Relays != running {
			return false
		}
	}
	return true
}

// pollInterval is the interval at which an awaited condition is checked.
const pollInterval = 100 * time.Millisecond

// TimeoutError reports that a condition did not hold in time.
type TimeoutError struct {
	What   string // the condition
	Within time.Duration
	State  State // state of the fleet at the end
}

// Error returns the condition, the time limit and the fleet's state.
func (e *TimeoutError) Error() string {
	return fmt.Sprintf("%s not reached within %s; state %+v", e.What, e.Within, e.State)
}

// await waits until a condition holds, and returns how long that took, or a TimeoutError.
func (f *Fleet) await(within time.Duration, what string, ok func() bool) (time.Duration, error) {
	began := time.Now()
	for !ok() {
		if time.Since(began) > within {
			return 0, &TimeoutError{what, within, f.State()}
		}
		time.Sleep(pollInterval)
	}
	return time.Since(began), nil
}

// AwaitOneView waits until all running relays hold one view of exactly these relays. It fails with a
// TimeoutError.
func (f *Fleet) AwaitOneView(within time.Duration) (time.Duration, error) {
	return f.await(within, "one view of all", f.hasOneView)
}

// SettlingTime is how long a fleet has to hold one view, with all budget shares at their target, to count as
// settled.
const SettlingTime = 3 * time.Second

// AwaitSettled waits until the fleet has settled. It fails with a TimeoutError.
func (f *Fleet) AwaitSettled(within time.Duration) (time.Duration, error) {
	since := time.Now()
	epoch := uint64(0)
	return f.await(within, "a settled view", func() bool {
		s := f.State()
		if s.Agreed != len(f.running()) || !f.hasOneView() || s.Highest != epoch {
			since = time.Now()
			epoch = s.Highest
			return false
		}
		return time.Since(since) >= SettlingTime
	})
}
