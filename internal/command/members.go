package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"sort"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/spf13/cobra"

	"capersail/internal/control"
	"capersail/internal/fleet/cells"
	"capersail/internal/fleet/membership"
)

// membersCommand returns the commands that ask a relay what it knows of the others.
func (p *Program) membersCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "members",
		Short: "What a relay knows of the others",
		Long: `What a relay knows of the others: who is there, how far they agree, and what share this relay takes.
The relay is asked on its socket, named by --config (the file that the relay has as --members) or by
--socket.`,
	}
	socket := addSocketFlags(c)
	ask := func() (*membership.Report, *cells.Report, error) {
		path, err := socket()
		if err != nil {
			return nil, nil, err
		}
		r, known, err := control.QueryFleet(path)
		if err != nil {
			return nil, nil, exitError{ExitNoAnswer, err}
		}
		return r, known, nil
	}
	list := &cobra.Command{
		Use:   "list",
		Short: "Every relay of its cell: its state, since when, how it is known, its share; then regions and cells",
		Args:  checkArguments(cobra.NoArgs),
		RunE: func(*cobra.Command, []string) error {
			r, known, err := ask()
			if err != nil {
				return err
			}
			return errors.Join(showMembers(p.Out, r), showCells(p.Out, r, known))
		},
	}
	var every time.Duration
	watch := &cobra.Command{
		Use:   "watch",
		Short: "A line for each change, until interrupted",
		Args:  checkArguments(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			return p.watchMembers(ctx, ask, every)
		},
	}
	watch.Flags().DurationVar(&every, "every", 500*time.Millisecond, "how often the relay is asked")
	c.AddCommand(list, watch)
	return c
}

// watchMembers prints a line for each change of a relay's answers until the context ends, or none comes.
func (p *Program) watchMembers(
	ctx context.Context, ask func() (*membership.Report, *cells.Report, error), every time.Duration,
) error {
	var last *membership.Report
	var lastCells *cells.Report
	for {
		r, known, err := ask()
		if err != nil {
			return err
		}
		for _, line := range append(memberChanges(last, r), cellChanges(lastCells, known)...) {
			fmt.Fprintln(p.Out, time.Now().Format("15:04:05.000"), line)
		}
		last = r
		lastCells = known
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(every):
		}
	}
}

// addSocketFlags gives a command the flags that say which relay is asked, and returns a function that finds
// the path of its socket.
func addSocketFlags(c *cobra.Command) func() (string, error) {
	var socket, config string
	c.PersistentFlags().StringVar(&config, "config", "", "the relay's `file` for members")
	c.PersistentFlags().StringVar(&socket, "socket", "", "`path` of a running relay's socket")
	return func() (string, error) {
		switch {
		case socket != "":
			return socket, nil
		case config == "":
			return "", usageError(fmt.Errorf("--config or --socket is wanted"))
		}
		var file struct{ Socket string }
		if _, err := toml.DecodeFile(config, &file); err != nil {
			return "", fmt.Errorf("%s: %w", config, err)
		}
		if file.Socket == "" {
			return "", fmt.Errorf("%s: socket: not set, so the relay cannot be asked", config)
		}
		return file.Socket, nil
	}
}

// headline returns a relay's own state in a line.
func headline(r *membership.Report) string {
	line := fmt.Sprintf("%s at %s: %s, epoch %d", r.Relay, r.Site, r.Phase, r.Epoch)
	if r.Epoch > 0 {
		line += " (" + r.ViewHash + ")"
	}
	line += fmt.Sprintf(", %d relays, share %.4f: %s", r.Relays, r.BudgetShare, r.ShareReason)
	if r.UnreleasedSlots > 0 {
		line += fmt.Sprintf(", %d places with their owners", r.UnreleasedSlots)
	}
	return line
}

// showMembers prints a row for each relay.
func showMembers(w io.Writer, r *membership.Report) error {
	fmt.Fprintln(w, headline(r))
	if r.SinceAgreedMs > 2000 {
		fmt.Fprintf(w, "agreed last %s ago\n",
			(time.Duration(r.SinceAgreedMs) * time.Millisecond).Round(time.Second))
	}
	tab := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(tab,
		"RELAY\tSTATE\tSINCE\tDOES\tZONE\tVIEW\tSHARE\tMAY TAKE\tEPOCH\tSTARTS\tPER S\tHELD\tKNOWN BY")
	for _, m := range r.Members {
		view := "-"
		if m.Member {
			view = "member"
		}
		if m.Voter {
			view += ", voter"
		}
		fmt.Fprintf(tab, "%s\t%s\t%s\t%s\t%s\t%s\t%.4f\t%.4f\t%d\t%d\t%.1f\t%d\t%s\n",
			m.Name, m.State, ago(float64(m.StateAgeMs)), m.Lifecycle, m.Zone, view,
			m.BudgetShare, max(m.BudgetShare, m.OutstandingLimit), m.Epoch, m.Incarnation,
			m.RequestRate, m.OpenConnections, m.Source)
	}
	if err := tab.Flush(); err != nil {
		return err
	}
	showCounts(w, "dropped:", r.DroppedPackets)
	return nil
}

// showCounts prints a line of what was left out, by reason; none where nothing was.
func showCounts(w io.Writer, what string, counts map[string]uint64) {
	if len(counts) == 0 {
		return
	}
	var all []string
	for reason, n := range counts {
		all = append(all, fmt.Sprintf("%s %d", reason, n))
	}
	sort.Strings(all)
	fmt.Fprintln(w, what, strings.Join(all, ", "))
}

// memberChanges returns the differences between two answers of a relay, a line each.
func memberChanges(old, now *membership.Report) (lines []string) {
	if old == nil || old.Phase != now.Phase || old.Epoch != now.Epoch || old.BudgetShare != now.BudgetShare {
		lines = append(lines, headline(now))
	}
	before := map[string]membership.MemberReport{}
	if old != nil {
		for _, m := range old.Members {
			before[m.Name] = m
		}
	}
	for _, m := range now.Members {
		was, known := before[m.Name]
		delete(before, m.Name)
		if known && !memberChanged(was, m) {
			continue
		}
		line := fmt.Sprintf("%s: %s, %s", m.Name, m.State, m.Lifecycle)
		if m.Member {
			line += ", in the view"
		}
		if known && was.Incarnation != m.Incarnation {
			line += ", started anew"
		}
		lines = append(lines, line)
	}
	return lines
}

func memberChanged(was, now membership.MemberReport) bool {
	return was.State != now.State || was.Lifecycle != now.Lifecycle || was.Member != now.Member ||
		was.Incarnation != now.Incarnation
}
