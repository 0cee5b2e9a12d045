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

// Step is one thing that a schedule does.
type Step struct {
	AfterMs float64 `json:"after_ms"` // since the step before
	Do      string  `json:"do"`       // one of the names in the table below
	Who     int     `json:"who,omitempty"`
	To      int     `json:"to,omitempty"`
	Parts   []int   `json:"parts,omitempty"` // with split: each relay's part
	Value   float64 `json:"value,omitempty"`
}

// doings are what a step can do.
var doings = map[string]func(g *Cluster, s Step) error{
	"start": func(g *Cluster, s Step) error { return g.Start(s.Who) },
	"kill":  func(g *Cluster, s Step) error { g.Kill(s.Who); return nil },
	"term":  func(g *Cluster, s Step) error { g.Term(s.Who); return nil },
	"stop":  func(g *Cluster, s Step) error { g.Stop(s.Who); return nil },
	"cont":  func(g *Cluster, s Step) error { g.Cont(s.Who); return nil },
	"split": func(g *Cluster, s Step) error { g.Split(s.Parts); return g.Apply() },
	"cut":   func(g *Cluster, s Step) error { g.Cut(s.Who, s.To, true); return g.Apply() },
	"join":  func(g *Cluster, _ Step) error { clear(g.cut); return g.Apply() },
	"loss":  func(g *Cluster, s Step) error { return g.all(func(r *faultpoint.Rules) { r.Loss = s.Value }) },
	"twice": func(g *Cluster, s Step) error { return g.all(func(r *faultpoint.Rules) { r.Twice = s.Value }) },
	"delay": func(g *Cluster, s Step) error { return g.all(func(r *faultpoint.Rules) { r.DelayMs = s.Value }) },
	"late": func(g *Cluster, s Step) error {
		return g.all(func(r *faultpoint.Rules) { r.Late, r.LateMs = s.Value, 3000 })
	},
	"rate": func(g *Cluster, s Step) error { return g.Rule(s.Who, func(r *faultpoint.Rules) { r.Rate = s.Value }) },
	"heal": func(g *Cluster, _ Step) error { return g.Heal() },
}

func (g *Cluster) all(change func(*faultpoint.Rules)) error {
	for i := range g.Relays {
		if err := g.Rule(i, change); err != nil {
			return err
		}
	}
	return nil
}

// Play carries a schedule out.
func (g *Cluster) Play(all []Step) error {
	for _, s := range all {
		time.Sleep(time.Duration(s.AfterMs * float64(time.Millisecond)))
		do, ok := doings[s.Do]
		if !ok || s.Who < 0 || s.Who >= len(g.Relays) || s.To < 0 || s.To >= len(g.Relays) || s.Do == "split" && len(s.Parts) != len(g.Relays) {
			return fmt.Errorf("a schedule's step that cannot be: %+v", s)
		}
		if err := do(g, s); err != nil {
			return err
		}
	}
	return nil
}

// Draw draws a schedule of faults for n relays that run.
func Draw(seed uint64, n, steps int) (all []Step) {
	rng := rand.New(rand.NewPCG(seed, 0x67726f756e64))
	for i := range n { // the clocks first: they differ all the while
		all = append(all, Step{Do: "rate", Who: i, Value: 1 + 0.05*(2*rng.Float64()-1)})
	}
	for range steps {
		s := Step{AfterMs: 200 + 2500*rng.Float64(), Who: rng.IntN(n), To: rng.IntN(n)}
		switch rng.IntN(11) {
		case 0, 1:
			parts := 2 + rng.IntN(2)
			for range n {
				s.Parts = append(s.Parts, rng.IntN(parts))
			}
			s.Do = "split"
		case 2:
			s.Do = "cut"
		case 3:
			s.Do = "join"
		case 4:
			s.Do, s.Value = []string{"loss", "twice", "late"}[rng.IntN(3)], 0.2*rng.Float64()
		case 5:
			s.Do, s.Value = "delay", 100*rng.Float64()
		case 6:
			s.Do = "kill"
		case 7:
			s.Do = "stop"
		case 8:
			s.Do = "term"
		default:
			s.Do = []string{"start", "cont"}[rng.IntN(2)]
		}
		all = append(all, s)
		if s.Do == "kill" && rng.IntN(2) == 0 { // and back at once
			all = append(all, Step{AfterMs: 800 * rng.Float64(), Do: "start", Who: s.Who})
		}
	}
	return all
}

// Write keeps a schedule in a file, from which Read takes it to be played again.
func Write(path string, all []Step) error {
	text, err := json.MarshalIndent(all, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o600)
}

// Read reads a schedule.
func Read(path string) (all []Step, err error) {
	text, err := os.ReadFile(path)
	if err == nil {
		err = json.Unmarshal(text, &all)
	}
	if err == nil && slices.ContainsFunc(all, func(s Step) bool { return doings[s.Do] == nil }) {
		err = fmt.Errorf("%s: a step that does nothing known", path)
	}
	return all, err
}
