package command

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"capersail/internal/control"
	"capersail/internal/fleet/membership"
	"capersail/internal/fleet/probing"
)

// fleetCommand returns the command that asks a relay for its part of what all relays do together.
func (p *Program) fleetCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "fleet",
		Short: "A relay's part of what all relays do together",
		Long: `A relay's part of what all relays do together: which servers it probes for all and why, whose load
reports it goes by, and what share of a budget it takes. The relay is asked on its socket, named by --config
(its file for members) or --socket.`,
	}
	socket := addSocketFlags(c)
	c.AddCommand(&cobra.Command{
		Use:   "show",
		Short: "Every server: who probes it, whose load report counts, how old it is",
		Args:  checkArguments(cobra.NoArgs),
		RunE: func(*cobra.Command, []string) error {
			path, err := socket()
			if err != nil {
				return err
			}
			fleet, probed, err := control.QueryProbing(path)
			if err != nil {
				return exitError{ExitNoAnswer, err}
			}
			return showFleet(p.Out, fleet, probed)
		},
	})
	return c
}

// showFleet prints a row for each server.
func showFleet(w io.Writer, fleet *membership.Report, probed *probing.Report) error {
	fmt.Fprintln(w, headline(fleet))
	if probed == nil || probed.Relays < 2 {
		fmt.Fprintln(w, "it looks at servers for itself: nobody shares readings with it")
		return nil
	}
	mine := 0
	for _, s := range probed.Servers {
		if s.Assigned {
			mine++
		}
	}
	fmt.Fprintf(w, "it looks at %d of %d servers for %d relays: "+
		"%d looks by turns, %d readings of others taken in\n",
		mine, len(probed.Servers), probed.Relays, probed.Probes, probed.ReadingsReceived)
	if len(probed.QuarantinedRelays) > 0 {
		fmt.Fprintln(w, "left out, as two others contradict them:",
			strings.Join(probed.QuarantinedRelays, " "))
	}
	tab := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(tab, "SERVER\tZONE\tLOOKED AT\tLOAD\tAGE MS\tREAD BY")
	for _, s := range probed.Servers {
		own := "by others"
		if s.Assigned {
			own = fmt.Sprintf("by this relay, turn %d of %d", s.Rank+1, min(probing.ProbersPerServer, probed.Relays))
		}
		by := s.Origin
		if by == "" {
			by = "nobody that counts"
		}
		fmt.Fprintf(tab, "%s\t%s\t%s\t%.2f\t%.0f\t%s\n", s.ID, s.Zone, own, s.Load, s.AgeMs, by)
	}
	if err := tab.Flush(); err != nil {
		return err
	}
	showCounts(w, "readings left out:", probed.DroppedByReason)
	return nil
}
