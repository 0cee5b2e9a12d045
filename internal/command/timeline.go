package command

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"capersail/internal/control"
	"capersail/internal/lifecycle"
	"capersail/internal/observe/anomaly"
	"capersail/internal/observe/chart"
	"capersail/internal/observe/report"
	"capersail/internal/observe/watch"
	"capersail/internal/store"
)

// reportSource selects where time line reports are read from, and for which period.
type reportSource struct {
	config, socket, store string
	since                 time.Duration
	from, to              string
}

// timelineCommand returns the commands that read time lines from a relay or a store.
func (p *Program) timelineCommand() *cobra.Command {
	var s reportSource
	c := &cobra.Command{
		Use:   "timeline",
		Short: "History of servers and of the relay's decisions about them",
		Long: `History of servers and of the relay's decisions about them. A running relay is queried on its
control socket; if no relay answers, its store is read. Both paths are given by --config (the file that the
relay was started with as --timeline), or by --socket and --store.`,
	}
	flags := c.PersistentFlags()
	flags.StringVar(&s.config, "config", "", "the relay's configuration `file` for time lines")
	flags.StringVar(&s.socket, "socket", "", "`path` of a running relay's control socket")
	flags.StringVar(&s.store, "store", "", "`path` of a time line store")
	flags.DurationVar(&s.since, "since", 0, "only the latest period of this length, such as 90m")
	flags.StringVar(&s.from, "from", "", "only from this `time`: RFC 3339 (2026-12-01T04:30:00Z) or Unix ms")
	flags.StringVar(&s.to, "to", "", "only up to this `time`")
	list := &cobra.Command{
		Use:   "list",
		Short: "Print one line per server",
		Args:  validateArgs(cobra.NoArgs),
		RunE: func(*cobra.Command, []string) error {
			return s.forEachReport(nil, func(r *report.Report) error { return r.WriteList(p.Out) })
		},
	}
	c.AddCommand(list, p.showCommand(&s), p.eventsCommand(&s), p.watchCommand(&s), p.exportCommand(&s))
	return c
}

func (p *Program) showCommand(s *reportSource) *cobra.Command {
	width := 60
	c := &cobra.Command{
		Use:   "show [SERVER...]",
		Short: "Draw the time lines of servers in the terminal",
		Args:  validateArgs(cobra.ArbitraryArgs),
		RunE: func(_ *cobra.Command, servers []string) error {
			return s.forEachReport(servers,
				func(r *report.Report) error { return r.WriteDrawing(p.Out, width) })
		},
	}
	c.Flags().IntVar(&width, "width", width, "width of the load graph in characters")
	return c
}

func (p *Program) eventsCommand(s *reportSource) *cobra.Command {
	var follow bool
	c := &cobra.Command{
		Use:   "events [SERVER...]",
		Short: "Print anomalies of servers",
		Args:  validateArgs(cobra.ArbitraryArgs),
		RunE: func(_ *cobra.Command, servers []string) error {
			if follow {
				return s.follow(p.Out, servers)
			}
			return s.forEachReport(servers, func(r *report.Report) error {
				printEvents(p.Out, r)
				return nil
			})
		},
	}
	c.Flags().BoolVarP(&follow, "follow", "f", false, "keep running and print new events as they occur")
	return c
}

func printEvents(w io.Writer, r *report.Report) {
	for _, e := range r.Events() {
		fmt.Fprintln(w, report.FormatEvent(e))
	}
}

// forEachReport calls f with each report of the named servers, or of all servers if none is named.
func (s *reportSource) forEachReport(servers []string, f func(*report.Report) error) error {
	all, err := s.readReports(servers)
	if err != nil {
		return err
	}
	for _, r := range all {
		if err := f(r); err != nil {
			return err
		}
	}
	return nil
}

func (p *Program) exportCommand(s *reportSource) *cobra.Command {
	var format, out string
	c := &cobra.Command{
		Use:   "export [SERVER...]",
		Short: "Write time lines as JSON lines, CSV, or a chart (PNG, SVG)",
		Args:  validateArgs(cobra.ArbitraryArgs),
		RunE: func(_ *cobra.Command, servers []string) error {
			if format == "" {
				format = strings.TrimPrefix(filepath.Ext(out), ".")
			}
			write, err := reportWriter(format)
			if err != nil {
				return err
			}
			all, err := s.readReports(servers)
			if err != nil {
				return err
			}
			if out == "" || out == "-" {
				return write(p.Out, all[0])
			}
			return writeReport(out, all[0], write)
		},
	}
	c.Flags().StringVar(&format, "format", "", "json, csv, png or svg; the output's extension if not set")
	c.Flags().StringVarP(&out, "output", "o", "", "output `file`; standard output if not set")
	return c
}

// reportWriter returns the function that writes a report in a format. It fails for an unknown format.
func reportWriter(format string) (func(io.Writer, *report.Report) error, error) {
	switch format {
	case "json", "jsonl":
		return func(w io.Writer, r *report.Report) error { return r.WriteJSON(w) }, nil
	case "csv":
		return func(w io.Writer, r *report.Report) error { return r.WriteCSV(w) }, nil
	case "png", "svg":
		return func(w io.Writer, r *report.Report) error { return chart.Write(w, r, format) }, nil
	}
	return nil, usageError(fmt.Errorf("format: unknown format %q; want json, csv, png or svg", format))
}

// writeReport writes a report to a file. It removes the file if writing fails.
func writeReport(path string, r *report.Report, write func(io.Writer, *report.Report) error) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := write(f, r); err != nil {
		f.Close()
		os.Remove(path)
		return err
	}
	return f.Close()
}

// resolvePaths takes the paths of the socket and the store from the configuration file, where flags don't set
// them. It fails if neither path is known.
func (s *reportSource) resolvePaths() error {
	if s.config != "" {
		t, err := lifecycle.ReadTimelineConfig(s.config)
		if err != nil {
			return err
		}
		if s.socket == "" {
			s.socket = t.ControlSocket
		}
		if s.store == "" {
			s.store = t.StoreFile
		}
	}
	if s.socket == "" && s.store == "" {
		return usageError(errors.New("no relay or store to read; set one of --config, --socket and --store"))
	}
	return nil
}

// parseTime parses the value of the flag name, a time in RFC 3339 or Unix ms, and returns it in Unix ms. It
// returns 0 for "".
func parseTime(name, text string) (float64, error) {
	if text == "" {
		return 0, nil
	}
	if ms, err := strconv.ParseFloat(text, 64); err == nil {
		return ms, nil
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		err := fmt.Errorf("%s: invalid time %q; want RFC 3339 (2026-12-01T04:30:00Z) or Unix ms", name, text)
		return 0, usageError(err)
	}
	return float64(t.UnixMilli()), nil
}

// buildQuery returns the query for the named servers and the period that the flags select.
func (s *reportSource) buildQuery(servers []string) (q report.Query, err error) {
	q.Servers = servers
	if q.From, err = parseTime("from", s.from); err != nil {
		return q, err
	}
	if q.To, err = parseTime("to", s.to); err != nil {
		return q, err
	}
	if s.since > 0 {
		q.From = max(q.From, float64(time.Now().Add(-s.since).UnixMilli()))
	}
	return q, nil
}

// readReports queries the relay, and reads the store if no relay answers.
func (s *reportSource) readReports(servers []string) ([]*report.Report, error) {
	if err := s.resolvePaths(); err != nil {
		return nil, err
	}
	q, err := s.buildQuery(servers)
	if err != nil {
		return nil, err
	}
	var noAnswer error
	if s.socket != "" {
		all, err := control.QueryTimelines(s.socket, q)
		if err == nil {
			return all, nil
		}
		noAnswer = err
	}
	if s.store == "" {
		return nil, exitError{ExitNoAnswer, noAnswer}
	}
	if _, err := os.Stat(s.store); err != nil {
		return nil, exitError{ExitNoAnswer, err}
	}
	db, err := store.Open(s.store, store.Options{ReadOnly: true}, zerolog.Nop())
	if err != nil {
		return nil, exitError{ExitNoAnswer, err}
	}
	defer db.Close()
	r, err := watch.ReportFromStore(db, q)
	if err != nil {
		return nil, err
	}
	return []*report.Report{r}, nil
}

// follow prints the relay's recorded events, and then new events as they occur.
func (s *reportSource) follow(w io.Writer, servers []string) error {
	if err := s.resolvePaths(); err != nil {
		return err
	}
	q, err := s.buildQuery(servers)
	if err != nil {
		return err
	}
	err = control.Follow(s.socket, q, func(all []*report.Report) {
		for _, r := range all {
			for _, e := range r.Events() {
				fmt.Fprintln(w, report.FormatEvent(e))
			}
		}
	}, func(e anomaly.Event) bool {
		if !q.Includes(e.Server) {
			return true
		}
		_, err := fmt.Fprintln(w, report.FormatEvent(e))
		return err == nil
	})
	return exitError{ExitNoAnswer, err}
}
