package cluster

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"

	"golang.org/x/sys/unix"

	"capersail/internal/testing/faultpoint"
)

// Now is the machine's monotonic clock in ms, as histories have it.
func Now() float64 {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &t) != nil {
		return 0
	}
	return float64(t.Sec)*1000 + float64(t.Nsec)/1e6
}

// History are all lines of all processes and of the rig, in the order of their times.
func (fleet *Cluster) History() ([]faultpoint.Noted, error) {
	fleet.mu.Lock()
	all := slices.Clone(fleet.events)
	fleet.mu.Unlock()
	for _, r := range fleet.Relays {
		f, err := os.Open(r.path("history"))
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		if err != nil {
			return nil, err
		}
		for lines := bufio.NewScanner(f); lines.Scan(); {
			var n faultpoint.Noted
			if json.Unmarshal(lines.Bytes(), &n) == nil { // the last line of a killed process may be torn
				all = append(all, n)
			}
		}
		f.Close()
	}
	slices.SortStableFunc(all, func(a, b faultpoint.Noted) int {
		switch {
		case a.T < b.T:
			return -1
		case a.T > b.T:
			return 1
		}
		return 0
	})
	return all, nil
}

// Latest is the newest line of each relay's newest life.
func (fleet *Cluster) Latest() (map[string]faultpoint.Noted, error) {
	all, err := fleet.History()
	last := map[string]faultpoint.Noted{}
	for _, n := range all {
		switch n.Event {
		case "start", "kill":
			delete(last, n.Name)
		case "":
			last[n.Name] = n
		}
	}
	return last, err
}

// FormatHistory are the last lines before a moment, for a failure's report.
func FormatHistory(all []faultpoint.Noted, at, ms float64) string {
	var b strings.Builder
	for _, n := range all {
		if n.T > at-ms && n.T <= at+1 {
			fmt.Fprintf(&b, "%9.1f %s %s%s epoch %d share %.4f", n.T-at, n.Name, n.Event, n.Phase, n.Epoch, n.Share)
			if n.Plan > 0 {
				fmt.Fprintf(&b, " in %v, %.4f elsewhere, by plan %d, opened %v,", n.Zones, n.Far, n.Plan, n.Open)
			}
			fmt.Fprintf(&b, " until %+.0f %v\n", n.Until-n.T, n.Members)
		}
	}
	return b.String()
}
