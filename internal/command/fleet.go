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

// fleetCommand returns the command that queries a relay for its part in the fleet's shared probing of
// servers.
func (p *Program) fleetCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "fleet",
		Short: "A relay's part in the fleet's shared probing of servers",
		Long: `A relay's part in the fleet's shared probing of servers: which servers it probes for the fleet
and why, whose load reports it uses, and its budget share. The relay is queried on its control socket, given
by --config (the relay's configuration file for members) or --socket.`,
	}
	socket := addSocketFlags(c)
	c.AddCommand(&cobra.Command{
		Use:   "show",
		Short: "List every server: its probers, the origin of its latest load report and the report's age",
		Args:  validateArgs(cobra.NoArgs),
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

// showFleet prints the relay's own state and a row for each server. A relay that shares no probes with others
// has no rows.
func showFleet(w io.Writer, fleet *membership.Report, probed *probing.Report) error {
	fmt.Fprintln(w, relayHeadline(fleet))
	if probed == nil || probed.Relays < 2 {
		fmt.Fprintln(w, "it looks at servers for itself: nobody shares readings with it")
		return nil
	}
	assigned := 0
	for _, s := range probed.Servers {
		if s.Assigned {
			assigned++
		}
	}
	fmt.Fprintf(w, "it looks at %d of %d servers for %d relays: "+
		"%d looks by turns, %d readings of others taken in\n",
		assigned, len(probed.Servers), probed.Relays, probed.Probes, probed.ReadingsReceived)
	if len(probed.QuarantinedRelays) > 0 {
		fmt.Fprintln(w, "left out, as two others contradict them:",
			strings.Join(probed.QuarantinedRelays, " "))
	}
	tab := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(tab, "SERVER\tZONE\tLOOKED AT\tLOAD\tAGE MS\tREAD BY")
	for _, s := range probed.Servers {
		probedBy := "by others"
		if s.Assigned {
			probedBy = fmt.Sprintf("by this relay, turn %d of %d",
				s.Rank+1, min(probing.ProbersPerServer, probed.Relays))
		}
		readBy := s.Origin
		if readBy == "" {
			readBy = "nobody that counts"
		}
		fmt.Fprintf(tab, "%s\t%s\t%s\t%.2f\t%.0f\t%s\n", s.ID, s.Zone, probedBy, s.Load, s.AgeMs, readBy)
	}
	if err := tab.Flush(); err != nil {
		return err
	}
	showCounts(w, "readings left out:", probed.DroppedByReason)
	return nil
}
