package watch

import (
	"slices"

	"capersail/internal/observe/report"
)

// Report answers a query from the timelines in memory.
func (w *Watcher) Report(q report.Query) *report.Report {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := &report.Report{
		RelayName:        w.RelayName,
		At:               w.unixMs(w.clock.Now()),
		DroppedEntries:   w.recordsDropped,
		EvictedTimelines: w.timelines.EvictedServers,
	}
	if w.Store != nil {
		if err := w.Store.WriteError(); err != nil {
			r.StoreError = err.Error()
		}
		r.DroppedEntries += w.Store.DroppedRows()
	}
	for _, name := range w.timelines.ServerNames() {
		if q.Includes(name) {
			r.Servers = append(r.Servers, w.reportServer(name))
		}
	}
	r.AddEvents(w.events.eventsWithCurrentEvidence(w.detector.ActiveEvents()), q)
	r.RestrictTime(q)
	return r
}

func (w *Watcher) reportServer(name string) report.Server {
	server := w.timelines.Server(name)
	return report.Server{
		Name:            name,
		State:           server.State().String(),
		OpenConnections: server.OpenConnections(),
		States:          slices.Clone(server.States),
		Intervals:       server.Intervals(),
		DiscardedBefore: server.DiscardedBefore,
	}
}
