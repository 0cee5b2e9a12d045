package cluster

import (
	"fmt"
	"slices"
	"time"

	"capersail/internal/testing/faultpoint"
)

// Await waits until a condition holds, and returns how long that took.
func Await(within time.Duration, check func() error) (time.Duration, error) {
	began := time.Now()
	for {
		err := check()
		if took := time.Since(began); err == nil || took > within {
			if err != nil {
				err = fmt.Errorf("after %v: %w", took.Round(time.Millisecond), err)
			}
			return took, err
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// CheckAgreement tells whether all relays that run hold one view of just them. settled wants every share at its target too.
func (fleet *Cluster) CheckAgreement(settled bool) error {
	last, err := fleet.Latest()
	if err != nil {
		return err
	}
	var names []string
	for _, r := range fleet.Relays {
		if r.running {
			names = append(names, r.Name)
		}
	}
	slices.Sort(names) // as views have them
	return checkAgreement(last, names, settled)
}

// checkAgreement tells whether relays hold one view of just them.
func checkAgreement(last map[string]faultpoint.Noted, names []string, settled bool) error {
	var ref faultpoint.Noted
	for _, name := range names {
		n, ok := last[name]
		if !ok {
			return fmt.Errorf("%s has said nothing yet", name)
		}
		if ref.Name == "" {
			ref = n
		}
		if n.Epoch != ref.Epoch || n.Hash != ref.Hash {
			return fmt.Errorf("%s holds epoch %d of %v, %s epoch %d of %v", name, n.Epoch, n.Members, ref.Name, ref.Epoch, ref.Members)
		}
		if !slices.Equal(n.Members, names) {
			return fmt.Errorf("%s: epoch %d has %v; %v run", name, n.Epoch, n.Members, names)
		}
		if n.Phase != "agreed" && (settled || n.Phase != "settling") {
			return fmt.Errorf("%s is %s in epoch %d", name, n.Phase, n.Epoch)
		}
	}
	return nil
}

// CheckCellAgreement tells whether the relays that run agree within each cell, and act by the parts of a plan that all cells have entered.
func (fleet *Cluster) CheckCellAgreement(number uint64, cells []Cell) error {
	last, err := fleet.Latest()
	if err != nil {
		return err
	}
	for _, c := range cells {
		var names []string
		for _, i := range c.Relays {
			if fleet.Relays[i].running {
				names = append(names, fleet.Relays[i].Name)
			}
		}
		slices.Sort(names)
		if err := checkAgreement(last, names, true); err != nil {
			return fmt.Errorf("cell %s: %w", c.Name, err)
		}
		for _, name := range names {
			if n := last[name]; n.Plan != number || !n.Open {
				return fmt.Errorf("cell %s: %s goes by plan %d, opened: %v; %d is wanted", c.Name, name, n.Plan, n.Open, number)
			}
		}
	}
	return nil
}

// CheckKnownCells tells whether every relay that runs hears of so many cells, by its directory.
func (fleet *Cluster) CheckKnownCells(want int) error {
	last, err := fleet.Latest()
	if err != nil {
		return err
	}
	for _, r := range fleet.Relays {
		if n := last[r.Name]; r.running && n.CellsHeard != want {
			return fmt.Errorf("%s hears of %d cells, not of %d", r.Name, n.CellsHeard, want)
		}
	}
	return nil
}
