package cluster

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"capersail/internal/testing/faultpoint"
)

// Step is one step of a schedule. It is kept in files as JSON.
type Step struct {
	AfterMs float64 `json:"after_ms"`        // since the step before
	Action  string  `json:"do"`              // the name of one of the actions
	Relay   int     `json:"who,omitempty"`   // the relay's number
	Peer    int     `json:"to,omitempty"`    // with cut: the other relay's number
	Parts   []int   `json:"parts,omitempty"` // with split: each relay's part
	Value   float64 `json:"value,omitempty"` // the action's part, time in ms or rate
}

// stepActions are what a step can do, by name.
var stepActions = map[string]func(fleet *Cluster, s Step) error{
	"start": func(fleet *Cluster, s Step) error { return fleet.Start(s.Relay) },
	"kill":  func(fleet *Cluster, s Step) error { fleet.Kill(s.Relay); return nil },
	"term":  func(fleet *Cluster, s Step) error { fleet.Terminate(s.Relay); return nil },
	"stop":  func(fleet *Cluster, s Step) error { fleet.Suspend(s.Relay); return nil },
	"cont":  func(fleet *Cluster, s Step) error { fleet.Resume(s.Relay); return nil },
	"split": func(fleet *Cluster, s Step) error { fleet.Split(s.Parts); return fleet.ApplyCuts() },
	"cut":   func(fleet *Cluster, s Step) error { fleet.Cut(s.Relay, s.Peer, true); return fleet.ApplyCuts() },
	"join":  func(fleet *Cluster, _ Step) error { clear(fleet.cuts); return fleet.ApplyCuts() },
	"loss": func(fleet *Cluster, s Step) error {
		return fleet.changeFaultsOfAll(func(r *faultpoint.Rules) { r.LossFraction = s.Value })
	},
	"twice": func(fleet *Cluster, s Step) error {
		return fleet.changeFaultsOfAll(func(r *faultpoint.Rules) { r.DuplicateFraction = s.Value })
	},
	"delay": func(fleet *Cluster, s Step) error {
		return fleet.changeFaultsOfAll(func(r *faultpoint.Rules) { r.DelayMs = s.Value })
	},
	"late": func(fleet *Cluster, s Step) error {
		return fleet.changeFaultsOfAll(func(r *faultpoint.Rules) { r.LateFraction, r.LateMs = s.Value, 3000 })
	},
	"rate": func(fleet *Cluster, s Step) error {
		return fleet.ChangeFaults(s.Relay, func(r *faultpoint.Rules) { r.ClockRate = s.Value })
	},
	"heal": func(fleet *Cluster, _ Step) error { return fleet.Heal() },
}

// changeFaultsOfAll changes every relay's faults.
func (fleet *Cluster) changeFaultsOfAll(change func(*faultpoint.Rules)) error {
	for i := range fleet.Relays {
		if err := fleet.ChangeFaults(i, change); err != nil {
			return err
		}
	}
	return nil
}

// RunSchedule carries a schedule out. It fails at the first step that cannot be done.
func (fleet *Cluster) RunSchedule(schedule []Step) error {
	for _, s := range schedule {
		time.Sleep(fromMillis(s.AfterMs))
		act, ok := stepActions[s.Action]
		if !ok || !s.isValidFor(len(fleet.Relays)) {
			return fmt.Errorf("schedule: step is impossible with %d relays: %+v", len(fleet.Relays), s)
		}
		if err := act(fleet, s); err != nil {
			return err
		}
	}
	return nil
}

// isValidFor reports whether a step speaks of relays that a cluster of n has.
func (s Step) isValidFor(n int) bool {
	has := func(relay int) bool { return relay >= 0 && relay < n }
	return has(s.Relay) && has(s.Peer) && (s.Action != "split" || len(s.Parts) == n)
}

// DrawSchedule draws a schedule of faults for n relays that run: the same for the same arguments.
func DrawSchedule(seed uint64, n, steps int) (all []Step) {
	rng := rand.New(rand.NewPCG(seed, 0x67726f756e64))
	for i := range n { // the clocks first: they differ all the while
		all = append(all, Step{Action: "rate", Relay: i, Value: 1 + 0.05*(2*rng.Float64()-1)})
	}
	for range steps {
		s := Step{AfterMs: 200 + 2500*rng.Float64(), Relay: rng.IntN(n), Peer: rng.IntN(n)}
		switch rng.IntN(11) {
		case 0, 1:
			parts := 2 + rng.IntN(2)
			for range n {
				s.Parts = append(s.Parts, rng.IntN(parts))
			}
			s.Action = "split"
		case 2:
			s.Action = "cut"
		case 3:
			s.Action = "join"
		case 4:
			s.Action, s.Value = []string{"loss", "twice", "late"}[rng.IntN(3)], 0.2*rng.Float64()
		case 5:
			s.Action, s.Value = "delay", 100*rng.Float64()
		case 6:
			s.Action = "kill"
		case 7:
			s.Action = "stop"
		case 8:
			s.Action = "term"
		default:
			s.Action = []string{"start", "cont"}[rng.IntN(2)]
		}
		all = append(all, s)
		if s.Action == "kill" && rng.IntN(2) == 0 { // and back at once
			all = append(all, Step{AfterMs: 800 * rng.Float64(), Action: "start", Relay: s.Relay})
		}
	}
	return all
}

// WriteSchedule writes a schedule to a file, for ReadSchedule.
func WriteSchedule(path string, all []Step) error {
	text, err := json.MarshalIndent(all, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o600)
}

// ReadSchedule reads a schedule from a file. It fails if the file has a step of no known action.
func ReadSchedule(path string) (all []Step, err error) {
	text, err := os.ReadFile(path)
	if err == nil {
		err = json.Unmarshal(text, &all)
	}
	if err == nil && slices.ContainsFunc(all, func(s Step) bool { return stepActions[s.Action] == nil }) {
		err = fmt.Errorf("schedule %s: a step has no known action", path)
	}
	return all, err
}
