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

// membersCommand returns the commands that query a relay for what it knows of the other relays.
func (p *Program) membersCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "members",
		Short: "What a relay knows of the other relays",
		Long: `What a relay knows of the other relays: their states, whether they agree on the view, and this
relay's budget share. The relay is queried on its control socket, given by --config (the file that the relay
was started with as --members) or by --socket.`,
	}
	socket := addSocketFlags(c)
	queryFleet := func() (*membership.Report, *cells.Report, error) {
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
		Short: "List the relays of its cell with state, age, source and budget share; then regions and cells",
		Args:  validateArgs(cobra.NoArgs),
		RunE: func(*cobra.Command, []string) error {
			r, known, err := queryFleet()
			if err != nil {
				return err
			}
			return errors.Join(showMembers(p.Out, r), showCells(p.Out, r, known))
		},
	}
	var interval time.Duration
	watch := &cobra.Command{
		Use:   "watch",
		Short: "Print a line for each change, until interrupted",
		Args:  validateArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			return p.watchMembers(ctx, queryFleet, interval)
		},
	}
	watch.Flags().DurationVar(&interval, "every", 500*time.Millisecond, "interval between queries")
	c.AddCommand(list, watch)
	return c
}

// watchMembers queries a relay at an interval and prints a line for each change. It returns nil when the
// context ends, and an error when the relay does not answer.
func (p *Program) watchMembers(
	ctx context.Context, queryFleet func() (*membership.Report, *cells.Report, error), interval time.Duration,
) error {
	var last *membership.Report
	var lastCells *cells.Report
	for {
		r, known, err := queryFleet()
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
		case <-time.After(interval):
		}
	}
}

// addSocketFlags adds the flags that select the relay to query, and returns a function that gives the path of
// the relay's control socket.
func addSocketFlags(c *cobra.Command) func() (string, error) {
	var socket, config string
	c.PersistentFlags().StringVar(&config, "config", "", "the relay's configuration `file` for members")
	c.PersistentFlags().StringVar(&socket, "socket", "", "`path` of a running relay's control socket")
	return func() (string, error) {
		switch {
		case socket != "":
			return socket, nil
		case config == "":
			return "", usageError(fmt.Errorf("no relay to query; set --config or --socket"))
		}
		var file struct{ Socket string }
		if _, err := toml.DecodeFile(config, &file); err != nil {
			return "", fmt.Errorf("%s: %w", config, err)
		}
		if file.Socket == "" {
			return "", fmt.Errorf("%s: socket: not set; the relay can be queried only with a socket", config)
		}
		return file.Socket, nil
	}
}

// relayHeadline returns one line with the relay's own state: phase, epoch, number of relays and budget share.
func relayHeadline(r *membership.Report) string {
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

// showMembers prints the relay's own state, a row for each relay, and the counts of dropped packets.
func showMembers(w io.Writer, r *membership.Report) error {
	fmt.Fprintln(w, relayHeadline(r))
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
			m.Name, m.State, roundedDuration(float64(m.StateAgeMs)), m.Lifecycle, m.Zone, view,
			m.BudgetShare, max(m.BudgetShare, m.OutstandingLimit), m.Epoch, m.Incarnation,
			m.RequestRate, m.OpenConnections, m.Source)
	}
	if err := tab.Flush(); err != nil {
		return err
	}
	showCounts(w, "dropped:", r.DroppedPackets)
	return nil
}

// showCounts prints one line of counts by reason, after a label. It prints nothing if there are no counts.
func showCounts(w io.Writer, label string, counts map[string]uint64) {
	if len(counts) == 0 {
		return
	}
	var all []string
	for reason, n := range counts {
		all = append(all, fmt.Sprintf("%s %d", reason, n))
	}
	sort.Strings(all)
	fmt.Fprintln(w, label, strings.Join(all, ", "))
}

// memberChanges returns one line for each difference between two member reports of a relay. old may be nil.
func memberChanges(old, now *membership.Report) (lines []string) {
	if old == nil || old.Phase != now.Phase || old.Epoch != now.Epoch || old.BudgetShare != now.BudgetShare {
		lines = append(lines, relayHeadline(now))
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

func memberChanged(old, now membership.MemberReport) bool {
	return old.State != now.State || old.Lifecycle != now.Lifecycle || old.Member != now.Member ||
		old.Incarnation != now.Incarnation
}
