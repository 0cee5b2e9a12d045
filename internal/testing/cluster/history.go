package cluster

import (
	"bufio"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"capersail/internal/testing/faultpoint"
)

// recordEvent adds what the cluster does to a relay's process to the history.
func (fleet *Cluster) recordEvent(i int, event string) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	line := faultpoint.HistoryLine{AtMillis: toMillis(Now()), Name: fleet.Relays[i].Name, Event: event}
	fleet.events = append(fleet.events, line)
}

// History returns the lines of all processes and the cluster's own events, in the order of their times. It
// fails if a process's file cannot be read.
func (fleet *Cluster) History() ([]faultpoint.HistoryLine, error) {
	fleet.mu.Lock()
	all := slices.Clone(fleet.events)
	fleet.mu.Unlock()
	for _, r := range fleet.Relays {
		lines, err := r.readHistory()
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	slices.SortStableFunc(all, func(a, b faultpoint.HistoryLine) int {
		return cmp.Compare(a.AtMillis, b.AtMillis)
	})
	return all, nil
}

// readHistory returns what the relay's processes have noted, nothing before the first has started.
func (r *Relay) readHistory() (all []faultpoint.HistoryLine, err error) {
	f, err := os.Open(r.path("history"))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		var n faultpoint.HistoryLine
		if json.Unmarshal(lines.Bytes(), &n) == nil { // the last line of a killed process may be torn
			all = append(all, n)
		}
	}
	return all, nil
}

// Latest returns the newest line of each relay that runs, by name.
func (fleet *Cluster) Latest() (map[string]faultpoint.HistoryLine, error) {
	all, err := fleet.History()
	latest := map[string]faultpoint.HistoryLine{}
	for _, n := range all {
		switch n.Event {
		case "start", "kill":
			delete(latest, n.Name)
		case "":
			latest[n.Name] = n
		}
	}
	return latest, err
}

// FormatHistory returns the lines of the time before an instant, for a failure's report. Times are in ms
// after it.
func FormatHistory(all []faultpoint.HistoryLine, at, before time.Duration) string {
	var b strings.Builder
	for _, n := range all {
		since := n.AtMillis - toMillis(at)
		if since <= -toMillis(before) || since > 1 {
			continue
		}
		fmt.Fprintf(&b, "%9.1f %s %s%s epoch %d share %.4f",
			since, n.Name, n.Event, n.Phase, n.Epoch, n.NearShare)
		if n.Plan > 0 {
			fmt.Fprintf(&b, " in %v, %.4f elsewhere, by plan %d, activated %v,",
				n.Zones, n.FarShare, n.Plan, n.PlanActivated)
		}
		fmt.Fprintf(&b, " until %+.0f %v\n", n.UntilMillis-n.AtMillis, n.Members)
	}
	return b.String()
}
