// Package report shows time lines: as text, JSON lines, CSV and pictures. What it shows is a Report, whether it
// came from a running relay or from a store.
package report

import (
	"cmp"
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"capersail/decide"
	"capersail/internal/observe/anomaly"
	"capersail/internal/observe/recorder"
	"capersail/internal/observe/timeline"
)

// Query says what is asked for. Times are Unix ms, 0 for no bound.
type Query struct {
	Servers []string `json:"servers,omitempty"` // none for all
	From    float64  `json:"from,omitempty"`
	To      float64  `json:"to,omitempty"`
	Follow  bool     `json:"follow,omitempty"` // events as they come, after those that there are
}

// Includes tells whether a line is asked for. The fleet's always is.
func (q Query) Includes(name string) bool {
	return name == timeline.FleetName || len(q.Servers) == 0 || slices.Contains(q.Servers, name)
}

// Server is one line.
type Server struct {
	Name            string                 `json:"server"`
	State           string                 `json:"state"`
	OpenConnections int                    `json:"held"`
	States          []timeline.StatePeriod `json:"bands"`
	Intervals       []timeline.Interval    `json:"steps"`
	Events          []anomaly.Event        `json:"events"`
	DiscardedBefore float64                `json:"forgotten,omitempty"` // what was before is kept no more
}

// Report is an answer.
type Report struct {
	Relay   string   `json:"relay"`
	At      float64  `json:"at"`
	Servers []Server `json:"servers"`
	Dropped uint64   `json:"dropped"`         // records and rows that were not kept
	Evicted int      `json:"evicted"`         // lines that had to make room
	Store   string   `json:"store,omitempty"` // why the store cannot be written
}

// AddEvents puts events on their lines.
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

// Restrict drops what lies outside of the time asked for.
func (r *Report) Restrict(q Query) {
	to := q.To
	if to == 0 {
		to = 1e18
	}
	outside := func(from, end float64) bool { return from > to || end != 0 && end < q.From }
	for i := range r.Servers {
		s := &r.Servers[i]
		s.States = slices.DeleteFunc(s.States, func(b timeline.StatePeriod) bool { return outside(b.From, b.To) })
		s.Intervals = slices.DeleteFunc(s.Intervals, func(x timeline.Interval) bool { return outside(x.From, x.From+x.Width) })
		s.Events = slices.DeleteFunc(s.Events, func(e anomaly.Event) bool { return outside(e.From, e.To) })
	}
}

// Events lists all events by their beginnings.
func (r *Report) Events() (all []anomaly.Event) {
	for _, s := range r.Servers {
		all = append(all, s.Events...)
	}
	slices.SortStableFunc(all, func(a, b anomaly.Event) int { return cmp.Compare(a.From, b.From) })
	return all
}

// FormatClock writes a time of the day in UTC.
func FormatClock(ms float64) string {
	if ms == 0 {
		return "..."
	}
	return time.UnixMilli(int64(ms)).UTC().Format("15:04:05.000")
}

func displayName(name string) string {
	if name == timeline.FleetName {
		return "(fleet)"
	}
	return name
}

// FormatEvent writes an event on one line.
func FormatEvent(e anomaly.Event) string {
	return fmt.Sprintf("%s - %-12s  %-14s  %-17s  %.0f %%  %s", FormatClock(e.From), FormatClock(e.To), displayName(e.Server), e.Name, 100*e.Confidence, e.Evidence)
}

// WriteList writes one line a server.
func (r *Report) WriteList(w io.Writer) error {
	fmt.Fprintf(w, "%-20s %-9s %5s %6s %7s %7s %6s  %s\n", "server", "state", "held", "load", "placed", "faults", "moved", "departures now")
	for _, s := range r.Servers {
		if s.Name == timeline.FleetName {
			continue
		}
		load, t := "-", sumIntervals(s.Intervals)
		for _, x := range s.Intervals {
			if x.Readings > 0 {
				load = fmt.Sprintf("%.2f", x.Load[1])
			}
		}
		var now []string
		for _, e := range s.Events {
			if e.To == 0 {
				now = append(now, e.Name)
			}
		}
		fmt.Fprintf(w, "%-20s %-9s %5d %6s %7d %7d %6d  %s\n", s.Name, s.State, s.OpenConnections, load, t.Placements, CountFaults(t), t.Migrations, strings.Join(now, ", "))
	}
	return r.trailer(w)
}

// trailer says what is not shown.
func (r *Report) trailer(w io.Writer) error {
	if r.Dropped > 0 || r.Evicted > 0 {
		fmt.Fprintf(w, "not kept: %d records, %d lines\n", r.Dropped, r.Evicted)
	}
	if r.Store != "" {
		fmt.Fprintf(w, "the store cannot be written: %s\n", r.Store)
	}
	_, err := fmt.Fprint(w, "")
	return err
}

func sumIntervals(steps []timeline.Interval) (t timeline.Interval) {
	for _, s := range steps {
		t = timeline.Merge(t, s)
	}
	return t
}

// CountFaults are the ends that a server is to blame for.
func CountFaults(s timeline.Interval) (n uint32) {
	for status, count := range s.Ends {
		if st := decide.Status(status); st != decide.OK && st != decide.Superseded && st != decide.Cancelled {
			n += count
		}
	}
	return n
}

// RejectionsByReason tells a step's refusals and failures by reason, each with its count.
func RejectionsByReason(s timeline.Interval) string {
	var text strings.Builder
	known := uint32(0)
	tell := func(reason string, n uint32) {
		if n > 0 {
			fmt.Fprintf(&text, " %s %d", reason, n)
			known += n
		}
	}
	for why, n := range s.RejectReasons.Module {
		tell(decide.RejectReason(why).String(), n)
	}
	for by, n := range s.RejectReasons.Relay[recorder.Nobody+1:] {
		tell((recorder.Nobody + 1 + recorder.Initiator(by)).String(), n)
	}
	if s.Rejections > known { // also those of a store that was written before reasons were kept
		tell("not told", s.Rejections-known)
	}
	return text.String()
}

const loadMarks = " .:-=+*#%@"

// WriteDrawing draws each line: its bands, its load as a row of characters, counts and events.
func (r *Report) WriteDrawing(w io.Writer, width int) error {
	for _, s := range r.Servers {
		if s.Name == timeline.FleetName && len(s.Events) == 0 && sumIntervals(s.Intervals).Rejections == 0 {
			continue
		}
		fmt.Fprintf(w, "%s  %s\n", displayName(s.Name), s.State)
		if s.DiscardedBefore > 0 {
			fmt.Fprintf(w, "  kept from %s on\n", FormatClock(s.DiscardedBefore))
		}
		for _, b := range s.States {
			fmt.Fprintf(w, "  %s - %-12s  %-9s  %s\n", FormatClock(b.From), FormatClock(b.To), b.Name, b.Cause)
		}
		if n := len(s.Intervals); n > 0 {
			from, to := s.Intervals[0].From, s.Intervals[n-1].From+s.Intervals[n-1].Width
			row := []byte(strings.Repeat(" ", width))
			for _, x := range s.Intervals {
				if x.Readings == 0 {
					continue
				}
				mark := loadMarks[min(len(loadMarks)-1, 1+int(x.Load[1]*float32(len(loadMarks)-2)))]
				for i := int((x.From - from) / (to - from) * float64(width)); i <= int((x.From+x.Width-from)/(to-from)*float64(width)) && i < width; i++ {
					row[i] = mark
				}
			}
			t := sumIntervals(s.Intervals)
			fmt.Fprintf(w, "  load %s|%s|%s  (. idle, @ full)\n", FormatClock(from), row, FormatClock(to))
			fmt.Fprintf(w, "  placed %d, retries %d, up %d, moved %d, refused %d, probes %d (%d lost), told by others %d; set-up 99 %% %.1f ms at worst\n", t.Placements,
				t.Retries, t.Connections, t.Migrations, t.Rejections, t.Probes, t.ProbesLost, t.PeerReadings, t.Setup[1])
			if f := CountFaults(t); f > 0 {
				fmt.Fprintf(w, "  faults:")
				for status, n := range t.Ends {
					if n > 0 {
						fmt.Fprintf(w, " %s %d", decide.Status(status), n)
					}
				}
				fmt.Fprintln(w)
			}
			if t.Rejections > 0 {
				fmt.Fprintf(w, "  refused:%s\n", RejectionsByReason(t))
			}
		}
		for _, e := range s.Events {
			fmt.Fprintf(w, "  ! %s\n", FormatEvent(e))
		}
		fmt.Fprintln(w)
	}
	return r.trailer(w)
}

// WriteJSON writes one line for each band, step and event.
func (r *Report) WriteJSON(w io.Writer) error {
	out := json.NewEncoder(w)
	for _, s := range r.Servers {
		for _, b := range s.States {
			if err := out.Encode(struct {
				Server string `json:"server"`
				Kind   string `json:"kind"`
				timeline.StatePeriod
			}{s.Name, "band", b}); err != nil {
				return err
			}
		}
		for _, x := range s.Intervals {
			if err := out.Encode(struct {
				Server string `json:"server"`
				Kind   string `json:"kind"`
				timeline.Interval
			}{s.Name, "step", x}); err != nil {
				return err
			}
		}
		for _, e := range s.Events {
			if err := out.Encode(struct {
				Kind string `json:"kind"`
				anomaly.Event
			}{"event", e}); err != nil {
				return err
			}
		}
	}
	return nil
}

// WriteCSV writes the steps as a table.
func (r *Report) WriteCSV(w io.Writer) error {
	out := csv.NewWriter(w)
	out.Write([]string{"server", "from_ms", "width_ms", "held", "places", "retries", "ups", "moves", "refusals", "faults", "probes", "probes_lost",
		"load_least", "load_mean", "load_most", "setup_p50_ms", "setup_p99_ms", "message_ms", "told", "refusals_by_reason"})
	f := func(x float32) string { return strconv.FormatFloat(float64(x), 'g', 5, 32) }
	u := func(x uint32) string { return strconv.FormatUint(uint64(x), 10) }
	for _, s := range r.Servers {
		for _, x := range s.Intervals {
			out.Write([]string{s.Name, strconv.FormatFloat(x.From, 'f', 0, 64), strconv.FormatFloat(x.Width, 'f', 0, 64),
				strconv.Itoa(int(x.OpenConnections)), u(x.Placements), u(x.Retries), u(x.Connections), u(x.Migrations), u(x.Rejections), u(CountFaults(x)), u(x.Probes), u(x.ProbesLost),
				f(x.Load[0]), f(x.Load[1]), f(x.Load[2]), f(x.Setup[0]), f(x.Setup[1]), f(x.SlowestMessage), u(x.PeerReadings), strings.TrimSpace(RejectionsByReason(x))})
		}
	}
	out.Flush()
	return out.Error()
}
