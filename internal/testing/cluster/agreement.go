package cluster

import (
	"fmt"
	"slices"
	"time"

	"capersail/internal/testing/faultpoint"
)

// Await waits until a condition holds, and returns how long that took. It fails with the condition's last
// error when the time is over.
func Await(within time.Duration, check func() error) (time.Duration, error) {
	began := time.Now()
	for {
		err := check()
		took := time.Since(began)
		if err == nil {
			return took, nil
		}
		if took > within {
			return took, fmt.Errorf("after %v: %w", took.Round(time.Millisecond), err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// The phases of a relay's view, as histories have them.
const (
	phaseAgreed   = "agreed"
	phaseSettling = "settling"
)

// CheckAgreement fails unless all relays that run hold one view of just them, and with settled unless every
// share has reached its target too.
func (fleet *Cluster) CheckAgreement(settled bool) error {
	latest, err := fleet.Latest()
	if err != nil {
		return err
	}
	return checkAgreement(latest, runningRelayNames(fleet.Relays), settled)
}

// runningRelayNames returns the names of the relays that run, sorted as views have them.
func runningRelayNames(relays []*Relay) (names []string) {
	for _, r := range relays {
		if r.running {
			names = append(names, r.Name)
		}
	}
	slices.Sort(names)
	return names
}

// checkAgreement fails unless the named relays hold one view of just them.
func checkAgreement(latest map[string]faultpoint.HistoryLine, names []string, settled bool) error {
	var first faultpoint.HistoryLine
	for _, name := range names {
		n, ok := latest[name]
		if !ok {
			return fmt.Errorf("%s has noted nothing yet", name)
		}
		if first.Name == "" {
			first = n
		}
		if n.Epoch != first.Epoch || n.ViewHash != first.ViewHash {
			return fmt.Errorf("%s holds epoch %d of %v, %s epoch %d of %v",
				name, n.Epoch, n.Members, first.Name, first.Epoch, first.Members)
		}
		if !slices.Equal(n.Members, names) {
			return fmt.Errorf("%s: epoch %d has %v; %v run", name, n.Epoch, n.Members, names)
		}
		if n.Phase != phaseAgreed && (settled || n.Phase != phaseSettling) {
			return fmt.Errorf("%s is %s in epoch %d", name, n.Phase, n.Epoch)
		}
	}
	return nil
}

// CheckCellAgreement fails unless the relays that run agree within each cell, and take their shares by a plan
// that all cells have joined.
func (fleet *Cluster) CheckCellAgreement(number uint64, cells []Cell) error {
	latest, err := fleet.Latest()
	if err != nil {
		return err
	}
	for _, c := range cells {
		var relays []*Relay
		for _, i := range c.Relays {
			relays = append(relays, fleet.Relays[i])
		}
		names := runningRelayNames(relays)
		if err := checkAgreement(latest, names, true); err != nil {
			return fmt.Errorf("cell %s: %w", c.Name, err)
		}
		for _, name := range names {
			if n := latest[name]; n.Plan != number || !n.PlanActivated {
				return fmt.Errorf("cell %s: %s has joined plan %d, activated %v; %d is wanted",
					c.Name, name, n.Plan, n.PlanActivated, number)
			}
		}
	}
	return nil
}

// CheckKnownCells fails unless every relay that runs knows of as many other cells, by its directory.
func (fleet *Cluster) CheckKnownCells(want int) error {
	latest, err := fleet.Latest()
	if err != nil {
		return err
	}
	for _, r := range fleet.Relays {
		if n := latest[r.Name]; r.running && n.KnownCells != want {
			return fmt.Errorf("%s knows of %d other cells, not of %d", r.Name, n.KnownCells, want)
		}
	}
	return nil
}
