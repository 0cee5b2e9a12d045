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

// reportSource is where time lines are read.
type reportSource struct {
	config, socket, store string
	since                 time.Duration
	from, to              string
}

func (p *Program) timelineCommand() *cobra.Command {
	var s reportSource
	c := &cobra.Command{Use: "timeline", Short: "What servers did, and what was decided about them",
		Long: `What servers did, and what was decided about them. A running relay is asked on its socket; if none answers, its
store is read. Both are named by --config (the file that the relay has as --timeline), or by --socket and --store.`}
	c.PersistentFlags().StringVar(&s.config, "config", "", "the relay's `file` for time lines")
	c.PersistentFlags().StringVar(&s.socket, "socket", "", "`path` of a running relay's socket")
	c.PersistentFlags().StringVar(&s.store, "store", "", "`path` of a store")
	c.PersistentFlags().DurationVar(&s.since, "since", 0, "only the last so long, such as 90m")
	c.PersistentFlags().StringVar(&s.from, "from", "", "only from this `time` on: 2026-12-01T04:30:00Z, or Unix ms")
	c.PersistentFlags().StringVar(&s.to, "to", "", "only up to this `time`")

	show := func(use, short string, args cobra.PositionalArgs, f func(io.Writer, *report.Report) error) *cobra.Command {
		return &cobra.Command{Use: use, Short: short, Args: checkArguments(args), RunE: func(_ *cobra.Command, servers []string) error {
			all, err := s.readReports(servers)
			if err != nil {
				return err
			}
			for _, r := range all {
				if err := f(p.Out, r); err != nil {
					return err
				}
			}
			return nil
		}}
	}
	width := 60
	list := show("list", "One line a server", cobra.NoArgs, func(w io.Writer, r *report.Report) error { return r.WriteList(w) })
	line := show("show [SERVER...]", "A line drawn in the terminal", cobra.ArbitraryArgs,
		func(w io.Writer, r *report.Report) error { return r.WriteDrawing(w, width) })
	line.Flags().IntVar(&width, "width", width, "characters for the load")
	events := show("events [SERVER...]", "Departures from usual ways", cobra.ArbitraryArgs, func(w io.Writer, r *report.Report) error {
		for _, e := range r.Events() {
			fmt.Fprintln(w, report.FormatEvent(e))
		}
		return nil
	})
	var follow bool
	events.Flags().BoolVarP(&follow, "follow", "f", false, "go on with events as they come")
	once := events.RunE
	events.RunE = func(cmd *cobra.Command, servers []string) error {
		if !follow {
			return once(cmd, servers)
		}
		return s.follow(p.Out, servers)
	}
	c.AddCommand(list, line, events, p.watchCommand(&s), p.exportCommand(&s))
	return c
}

func (p *Program) exportCommand(s *reportSource) *cobra.Command {
	var format, out string
	c := &cobra.Command{Use: "export [SERVER...]", Short: "Write JSON lines, CSV, or a picture (PNG, SVG)", Args: checkArguments(cobra.ArbitraryArgs),
		RunE: func(_ *cobra.Command, servers []string) error {
			if format == "" {
				format = strings.TrimPrefix(filepath.Ext(out), ".")
			}
			var write func(io.Writer, *report.Report) error
			switch format {
			case "json", "jsonl":
				write = func(w io.Writer, r *report.Report) error { return r.WriteJSON(w) }
			case "csv":
				write = func(w io.Writer, r *report.Report) error { return r.WriteCSV(w) }
			case "png", "svg":
				write = func(w io.Writer, r *report.Report) error { return chart.Write(w, r, format) }
			default:
				return usageError(fmt.Errorf("format: %q is none of json, csv, png, svg", format))
			}
			all, err := s.readReports(servers)
			if err != nil {
				return err
			}
			if out == "" || out == "-" {
				return write(p.Out, all[0])
			}
			f, err := os.Create(out)
			if err != nil {
				return err
			}
			if err := write(f, all[0]); err != nil {
				f.Close()
				os.Remove(out)
				return err
			}
			return f.Close()
		}}
	c.Flags().StringVar(&format, "format", "", "json, csv, png or svg; else by the output's name")
	c.Flags().StringVarP(&out, "output", "o", "", "`file`; standard output without it")
	return c
}

// resolve fills in what the configuration names.
func (s *reportSource) resolve() error {
	if s.config != "" {
		t, err := lifecycle.ReadTimelineConfig(s.config)
		if err != nil {
			return err
		}
		if s.socket == "" {
			s.socket = t.Socket
		}
		if s.store == "" {
			s.store = t.Store
		}
	}
	if s.socket == "" && s.store == "" {
		return usageError(errors.New("one of --config, --socket and --store is wanted"))
	}
	return nil
}

func parseTime(name, text string) (float64, error) {
	if text == "" {
		return 0, nil
	}
	if ms, err := strconv.ParseFloat(text, 64); err == nil {
		return ms, nil
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return 0, usageError(fmt.Errorf("%s: %q is neither a time like 2026-12-01T04:30:00Z nor Unix ms", name, text))
	}
	return float64(t.UnixMilli()), nil
}

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
	var first error
	if s.socket != "" {
		all, err := control.Ask(s.socket, q)
		if err == nil {
			return all, nil
		}
		first = err
	}
	if s.store == "" {
		return nil, exitError{NoAnswer, first}
	}
	if _, err := os.Stat(s.store); err != nil {
		return nil, exitError{NoAnswer, err}
	}
	db, err := store.Open(s.store, store.Options{ReadOnly: true}, zerolog.Nop())
	if err != nil {
		return nil, exitError{NoAnswer, err}
	}
	defer db.Close()
	r, err := watch.FromStore(db, q)
	if err != nil {
		return nil, err
	}
	return []*report.Report{r}, nil
}

// follow prints events as they come, those that there are first.
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
	return exitError{NoAnswer, err}
}
