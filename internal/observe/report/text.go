package report

import (
	"fmt"
	"io"
	"strings"
	"time"

	"capersail/decide"
	"capersail/internal/observe/anomaly"
	"capersail/internal/observe/timeline"
)

// loadCharacters represent loads from 0 to 1 in ascending order; the first stands for no reading.
const loadCharacters = " .:-=+*#%@"

// FormatClock formats a time of day in UTC. It formats 0, an end that is not known yet, as three dots.
func FormatClock(unixMs float64) string {
	if unixMs == 0 {
		return "..."
	}
	return time.UnixMilli(int64(unixMs)).UTC().Format("15:04:05.000")
}

func displayName(server string) string {
	if server == timeline.FleetName {
		return "(fleet)"
	}
	return server
}

// FormatEvent formats an event as one line.
func FormatEvent(e anomaly.Event) string {
	return fmt.Sprintf("%s - %-12s  %-14s  %-17s  %.0f %%  %s",
		FormatClock(e.From), FormatClock(e.To), displayName(e.Server), e.Name, 100*e.Confidence, e.Evidence)
}

// WriteList writes a table with one line per server. It returns the first write error.
func (r *Report) WriteList(out io.Writer) error {
	w := &errorWriter{out: out}
	w.printf("%-20s %-9s %5s %6s %7s %7s %8s  %s\n",
		"server", "state", "open", "load", "placed", "faults", "migrated", "anomalies now")
	for _, s := range r.Servers {
		if s.Name != timeline.FleetName {
			s.writeListRow(w)
		}
	}
	r.writeOmissions(w)
	return w.err
}

func (s *Server) writeListRow(w *errorWriter) {
	sum := sumIntervals(s.Intervals)
	w.printf("%-20s %-9s %5d %6s %7d %7d %8d  %s\n",
		s.Name, s.State, s.OpenConnections, s.latestLoad(), sum.Placements, CountFaults(sum), sum.Migrations,
		strings.Join(s.activeEvents(), ", "))
}

// latestLoad formats the mean load of the newest interval that has a reading, or "-" if there is none.
func (s *Server) latestLoad() string {
	for i := len(s.Intervals) - 1; i >= 0; i-- {
		if s.Intervals[i].Readings > 0 {
			return fmt.Sprintf("%.2f", s.Intervals[i].Load[1])
		}
	}
	return "-"
}

// activeEvents returns the names of the events that have not ended.
func (s *Server) activeEvents() (names []string) {
	for _, e := range s.Events {
		if e.To == 0 {
			names = append(names, e.Name)
		}
	}
	return names
}

// writeOmissions writes what the report lacks: dropped records, evicted timelines and an error of the store.
func (r *Report) writeOmissions(w *errorWriter) {
	if r.DroppedEntries > 0 || r.EvictedTimelines > 0 {
		w.printf("not kept: %d records, %d timelines\n", r.DroppedEntries, r.EvictedTimelines)
	}
	if r.StoreError != "" {
		w.printf("the store cannot be written: %s\n", r.StoreError)
	}
}

// WriteDrawing writes each timeline as text: its states, its load as a row of width characters, its counts
// and its events. It returns the first write error.
func (r *Report) WriteDrawing(out io.Writer, width int) error {
	w := &errorWriter{out: out}
	for _, s := range r.Servers {
		if s.Name == timeline.FleetName && len(s.Events) == 0 && sumIntervals(s.Intervals).Rejections == 0 {
			continue
		}
		s.writeDrawing(w, width)
	}
	r.writeOmissions(w)
	return w.err
}

func (s *Server) writeDrawing(w *errorWriter, width int) {
	w.printf("%s  %s\n", displayName(s.Name), s.State)
	if s.DiscardedBefore > 0 {
		w.printf("  kept from %s on\n", FormatClock(s.DiscardedBefore))
	}
	for _, p := range s.States {
		w.printf("  %s - %-12s  %-9s  %s\n", FormatClock(p.From), FormatClock(p.To), p.Name, p.Cause)
	}
	if len(s.Intervals) > 0 {
		s.writeLoad(w, width)
		writeCounts(w, sumIntervals(s.Intervals))
	}
	for _, e := range s.Events {
		w.printf("  ! %s\n", FormatEvent(e))
	}
	w.printf("\n")
}

// writeLoad writes the mean load over time as a row of characters.
func (s *Server) writeLoad(w *errorWriter, width int) {
	last := s.Intervals[len(s.Intervals)-1]
	from, to := s.Intervals[0].From, last.From+last.Width
	column := func(at float64) int { return int((at - from) / (to - from) * float64(width)) }
	row := []byte(strings.Repeat(" ", width))
	for _, interval := range s.Intervals {
		if interval.Readings == 0 {
			continue
		}
		level := 1 + int(interval.Load[1]*float32(len(loadCharacters)-2))
		mark := loadCharacters[min(len(loadCharacters)-1, level)]
		end := column(interval.From + interval.Width)
		for i := column(interval.From); i <= end && i < width; i++ {
			row[i] = mark
		}
	}
	w.printf("  load %s|%s|%s  (. idle, @ full)\n", FormatClock(from), row, FormatClock(to))
}

func writeCounts(w *errorWriter, sum timeline.Interval) {
	w.printf("  placed %d, retries %d, connected %d, migrated %d, rejected %d, probes %d (%d lost), "+
		"load reports by gossip %d; set-up 99 %% %.1f ms at worst\n",
		sum.Placements, sum.Retries, sum.Connections, sum.Migrations, sum.Rejections,
		sum.Probes, sum.ProbesLost, sum.PeerReadings, sum.Setup[1])
	if CountFaults(sum) > 0 {
		w.printf("  faults:")
		for status, n := range sum.EndsByStatus {
			if n > 0 {
				w.printf(" %s %d", decide.Status(status), n)
			}
		}
		w.printf("\n")
	}
	if sum.Rejections > 0 {
		w.printf("  rejected:%s\n", RejectionsByReason(sum))
	}
}

// errorWriter keeps the first write error and writes nothing after it.
type errorWriter struct {
	out io.Writer
	err error
}

func (w *errorWriter) printf(format string, args ...any) {
	if w.err == nil {
		_, w.err = fmt.Fprintf(w.out, format, args...)
	}
}
