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

// reportSource says where reports of time lines are read, and which part of them.
type reportSource struct {
	config, socket, store string
	since                 time.Duration
	from, to              string
}

// timelineCommand returns the commands that read time lines.
func (p *Program) timelineCommand() *cobra.Command {
	var s reportSource
	c := &cobra.Command{
		Use:   "timeline",
		Short: "What servers did, and what was decided about them",
		Long: `What servers did, and what was decided about them. A running relay is asked on its socket; if none
answers, its store is read. Both are named by --config (the file that the relay has as --timeline), or by
--socket and --store.`,
	}
	flags := c.PersistentFlags()
	flags.StringVar(&s.config, "config", "", "the relay's `file` for time lines")
	flags.StringVar(&s.socket, "socket", "", "`path` of a running relay's socket")
	flags.StringVar(&s.store, "store", "", "`path` of a store")
	flags.DurationVar(&s.since, "since", 0, "only the last so long, such as 90m")
	flags.StringVar(&s.from, "from", "", "only from this `time` on: 2026-12-01T04:30:00Z, or Unix ms")
	flags.StringVar(&s.to, "to", "", "only up to this `time`")
	list := &cobra.Command{
		Use:   "list",
		Short: "One line a server",
		Args:  checkArguments(cobra.NoArgs),
		RunE: func(*cobra.Command, []string) error {
			return s.eachReport(nil, func(r *report.Report) error { return r.WriteList(p.Out) })
		},
	}
	c.AddCommand(list, p.showCommand(&s), p.eventsCommand(&s), p.watchCommand(&s), p.exportCommand(&s))
	return c
}

func (p *Program) showCommand(s *reportSource) *cobra.Command {
	width := 60
	c := &cobra.Command{
		Use:   "show [SERVER...]",
		Short: "A line drawn in the terminal",
		Args:  checkArguments(cobra.ArbitraryArgs),
		RunE: func(_ *cobra.Command, servers []string) error {
			return s.eachReport(servers, func(r *report.Report) error { return r.WriteDrawing(p.Out, width) })
		},
	}
	c.Flags().IntVar(&width, "width", width, "characters for the load")
	return c
}

func (p *Program) eventsCommand(s *reportSource) *cobra.Command {
	var follow bool
	c := &cobra.Command{
		Use:   "events [SERVER...]",
		Short: "Anomalies of servers",
		Args:  checkArguments(cobra.ArbitraryArgs),
		RunE: func(_ *cobra.Command, servers []string) error {
			if follow {
				return s.follow(p.Out, servers)
			}
			return s.eachReport(servers, func(r *report.Report) error {
				printEvents(p.Out, r)
				return nil
			})
		},
	}
	c.Flags().BoolVarP(&follow, "follow", "f", false, "go on with events as they come")
	return c
}

func printEvents(w io.Writer, r *report.Report) {
	for _, e := range r.Events() {
		fmt.Fprintln(w, report.FormatEvent(e))
	}
}

// eachReport calls f with each report of servers, all servers if none is named.
func (s *reportSource) eachReport(servers []string, f func(*report.Report) error) error {
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
		Short: "Write JSON lines, CSV, or a picture (PNG, SVG)",
		Args:  checkArguments(cobra.ArbitraryArgs),
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
	c.Flags().StringVar(&format, "format", "", "json, csv, png or svg; else by the output's name")
	c.Flags().StringVarP(&out, "output", "o", "", "`file`; standard output without it")
	return c
}

// reportWriter returns what writes a report in a format. It fails for a format that there is not.
func reportWriter(format string) (func(io.Writer, *report.Report) error, error) {
	switch format {
	case "json", "jsonl":
		return func(w io.Writer, r *report.Report) error { return r.WriteJSON(w) }, nil
	case "csv":
		return func(w io.Writer, r *report.Report) error { return r.WriteCSV(w) }, nil
	case "png", "svg":
		return func(w io.Writer, r *report.Report) error { return chart.Write(w, r, format) }, nil
	}
	return nil, usageError(fmt.Errorf("format: %q is none of json, csv, png, svg", format))
}

// writeReport writes a report to a file, and leaves none if that fails.
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

// resolve takes socket and store from the configuration where they are not named. It fails if neither is
// known.
func (s *reportSource) resolve() error {
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
		return usageError(errors.New("one of --config, --socket and --store is wanted"))
	}
	return nil
}

// parseTime reads a time, as RFC 3339 or in Unix ms, and returns it in Unix ms; 0 for "". name is the flag's.
func parseTime(name, text string) (float64, error) {
	if text == "" {
		return 0, nil
	}
	if ms, err := strconv.ParseFloat(text, 64); err == nil {
		return ms, nil
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		err := fmt.Errorf("%s: %q is neither a time like 2026-12-01T04:30:00Z nor Unix ms", name, text)
		return 0, usageError(err)
	}
	return float64(t.UnixMilli()), nil
}

// query returns what is asked for by the flags.
func (s *reportSource) query(servers []string) (q report.Query, err error) {
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

// readReports asks the relay, and reads the store if none answers.
func (s *reportSource) readReports(servers []string) ([]*report.Report, error) {
	if err := s.resolve(); err != nil {
		return nil, err
	}
	q, err := s.query(servers)
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

// follow prints the events that there are, and further ones as they come.
func (s *reportSource) follow(w io.Writer, servers []string) error {
	if err := s.resolve(); err != nil {
		return err
	}
	q, err := s.query(servers)
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
