package report

import (
	"encoding/csv"
	"encoding/json"
	"io"
	"strconv"
	"strings"

	"capersail/internal/observe/anomaly"
	"capersail/internal/observe/timeline"
)

// The lines of WriteJSON. Other programs read their keys.
type (
	stateLine struct {
		Server string `json:"server"`
		Kind   string `json:"kind"`
		timeline.StatePeriod
	}
	intervalLine struct {
		Server string `json:"server"`
		Kind   string `json:"kind"`
		timeline.Interval
	}
	eventLine struct {
		Kind string `json:"kind"`
		anomaly.Event
	}
)

// WriteJSON writes a JSON line for each state, interval and event. It returns the first write error.
func (r *Report) WriteJSON(w io.Writer) error {
	out := json.NewEncoder(w)
	for _, s := range r.Servers {
		if err := s.writeJSON(out); err != nil {
			return err
		}
	}
	return nil
}

func (s *Server) writeJSON(out *json.Encoder) error {
	for _, p := range s.States {
		if err := out.Encode(stateLine{s.Name, "band", p}); err != nil {
			return err
		}
	}
	for _, interval := range s.Intervals {
		if err := out.Encode(intervalLine{s.Name, "step", interval}); err != nil {
			return err
		}
	}
	for _, e := range s.Events {
		if err := out.Encode(eventLine{"event", e}); err != nil {
			return err
		}
	}
	return nil
}

// csvHeader holds the column names. Other programs read them.
var csvHeader = []string{
	"server", "from_ms", "width_ms", "held", "places", "retries", "ups", "moves", "refusals", "faults",
	"probes", "probes_lost", "load_least", "load_mean", "load_most", "setup_p50_ms", "setup_p99_ms",
	"message_ms", "told", "refusals_by_reason",
}

// WriteCSV writes the intervals as CSV. It returns the first write error.
func (r *Report) WriteCSV(w io.Writer) error {
	out := csv.NewWriter(w)
	out.Write(csvHeader) // the writer keeps its error, which Error returns below
	for _, s := range r.Servers {
		for _, interval := range s.Intervals {
			out.Write(csvRow(s.Name, interval))
		}
	}
	out.Flush()
	return out.Error()
}

func csvRow(server string, x timeline.Interval) []string {
	return []string{
		server,
		csvMillis(x.From),
		csvMillis(x.Width),
		strconv.Itoa(int(x.OpenConnections)),
		csvCount(x.Placements),
		csvCount(x.Retries),
		csvCount(x.Connections),
		csvCount(x.Migrations),
		csvCount(x.Rejections),
		csvCount(CountFaults(x)),
		csvCount(x.Probes),
		csvCount(x.ProbesLost),
		csvFloat(x.Load[0]),
		csvFloat(x.Load[1]),
		csvFloat(x.Load[2]),
		csvFloat(x.Setup[0]),
		csvFloat(x.Setup[1]),
		csvFloat(x.SlowestMessage),
		csvCount(x.PeerReadings),
		strings.TrimSpace(RejectionsByReason(x)),
	}
}

func csvMillis(x float64) string { return strconv.FormatFloat(x, 'f', 0, 64) }
func csvFloat(x float32) string  { return strconv.FormatFloat(float64(x), 'g', 5, 32) }
func csvCount(x uint32) string   { return strconv.FormatUint(uint64(x), 10) }
