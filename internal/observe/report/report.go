// Package report prints timelines as text, JSON lines and CSV; package chart draws them as images. Its input
// is a Report, which comes from a running relay or from a store.
package report

import (
	"cmp"
	"slices"

	"capersail/internal/observe/anomaly"
	"capersail/internal/observe/timeline"
)

// noUpperBound is a time later than any row, in Unix ms.
const noUpperBound = 1e18

// Query selects the timelines and the period of a Report. Times are in Unix ms, 0 for no bound.
type Query struct {
	Servers []string `json:"servers,omitempty"` // empty for all servers
	From    float64  `json:"from,omitempty"`
	To      float64  `json:"to,omitempty"`
	Follow  bool     `json:"follow,omitempty"` // also send new events as they begin and end
}

// Includes reports whether the query selects a server's timeline. It always selects the fleet's.
func (q Query) Includes(name string) bool {
	return name == timeline.FleetName || len(q.Servers) == 0 || slices.Contains(q.Servers, name)
}

// Server is the timeline of one server, or of the fleet.
type Server struct {
	Name            string                 `json:"server"`
	State           string                 `json:"state"`
	OpenConnections int                    `json:"held"`
	States          []timeline.StatePeriod `json:"bands"`
	Intervals       []timeline.Interval    `json:"steps"`
	Events          []anomaly.Event        `json:"events"`
	DiscardedBefore float64                `json:"forgotten,omitempty"` // Unix ms; nothing older is kept
}

// Report is the answer to a Query.
type Report struct {
	RelayName        string   `json:"relay"`
	At               float64  `json:"at"` // Unix ms
	Servers          []Server `json:"servers"`
	DroppedEntries   uint64   `json:"dropped"`         // number of records and rows that were dropped
	EvictedTimelines int      `json:"evicted"`         // number of timelines that were evicted
	StoreError       string   `json:"store,omitempty"` // why the store cannot be written, "" if it can
}

// AddEvents adds the events that the query selects to the timelines of their servers.
func (r *Report) AddEvents(events []anomaly.Event, q Query) {
	for _, e := range events {
		if !q.Includes(e.Server) {
			continue
		}
		i := slices.IndexFunc(r.Servers, func(s Server) bool { return s.Name == e.Server })
		if i < 0 {
			r.Servers = append(r.Servers, Server{Name: e.Server})
			i = len(r.Servers) - 1
		}
		r.Servers[i].Events = append(r.Servers[i].Events, e)
	}
	slices.SortFunc(r.Servers, func(a, b Server) int { return cmp.Compare(a.Name, b.Name) })
}

// RestrictTime removes the parts that lie outside the period of the query.
func (r *Report) RestrictTime(q Query) {
	to := q.To
	if to == 0 {
		to = noUpperBound
	}
	outside := func(from, end float64) bool {
		ended := end != 0
		return from > to || ended && end < q.From
	}
	for i := range r.Servers {
		s := &r.Servers[i]
		s.States = slices.DeleteFunc(s.States, func(p timeline.StatePeriod) bool {
			return outside(p.From, p.To)
		})
		s.Intervals = slices.DeleteFunc(s.Intervals, func(x timeline.Interval) bool {
			return outside(x.From, x.From+x.Width)
		})
		s.Events = slices.DeleteFunc(s.Events, func(e anomaly.Event) bool {
			return outside(e.From, e.To)
		})
	}
}

// Events returns all events in the order of their beginnings.
func (r *Report) Events() (all []anomaly.Event) {
	for _, s := range r.Servers {
		all = append(all, s.Events...)
	}
	slices.SortStableFunc(all, func(a, b anomaly.Event) int { return cmp.Compare(a.From, b.From) })
	return all
}
