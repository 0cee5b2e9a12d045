package scale

import (
	"fmt"
	"time"

	"capersail/internal/fleet/membership"
)

// State is how far a fleet has come to one view.
type State struct {
	Holding int    // relays that hold a view of just those that run
	Agreed  int    // of these, relays whose shares have reached their target
	Epochs  int    // how many different views are held
	Highest uint64 // the highest epoch
}

// State returns that of all relays that run.
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

// Dropped returns how many messages all running relays have dropped, by reason.
func (f *Fleet) Dropped() map[string]uint64 {
	sum := map[string]uint64{}
	for _, node := range f.running() {
		for reason, n := range node.Report().DroppedPackets {
			sum[reason] += n
		}
	}
	return sum
}

// hasOneView reports whether all relays that run hold one view of just them; in cells, whether each holds its
// cell's view, and knows of just the relays that run elsewhere.
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

// pollEvery is how often a condition is checked while it is awaited.
const pollInterval = 100 * time.Millisecond

// TimeoutError says that a condition did not come to hold in time.
type TimeoutError struct {
	What   string // the condition
	Within time.Duration
	State  State // of the fleet at the end
}

// Error returns the error's text.
func (e *TimeoutError) Error() string {
	return fmt.Sprintf("%s: not within %s; %+v", e.What, e.Within, e.State)
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

// AwaitOneView waits until all relays that run hold one view of just them. It fails with a TimeoutError.
func (f *Fleet) AwaitOneView(within time.Duration) (time.Duration, error) {
	return f.await(within, "one view of all", f.hasOneView)
}

// SettledAfter is how long a fleet has to hold one view, with all shares at their target, to count as
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
