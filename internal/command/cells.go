package command

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"capersail/internal/fleet/cells"
	"capersail/internal/fleet/membership"
)

// showCells prints a row for each region, and for each cell that the relay knows of by itself; nothing
// without cells.
func showCells(w io.Writer, r *membership.Report, known *cells.Report) error {
	if known == nil {
		return nil
	}
	fmt.Fprintln(w)
	fmt.Fprintln(w, cellHeadline(r, known))
	if err := showRegions(w, known); err != nil {
		return err
	}
	if known.Representative != r.Relay {
		fmt.Fprintf(w, "cells one by one are known at the speaker, %s\n", orNobody(known.Representative))
	}
	tab := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(tab,
		"CELL\tREGION\tSTATE\tAGE\tSPEAKER\tPLAN\tENTERED\tEPOCH\tRELAYS\tSERVING\tPER S\tHELD\tGONE")
	for _, region := range known.Regions {
		for _, c := range region.CellReports {
			if known.Representative == r.Relay || c.OwnCell {
				showCell(tab, region.Name, c)
			}
		}
	}
	if err := tab.Flush(); err != nil {
		return err
	}
	showCounts(w, "dropped of cells:", dropZeros(map[string]uint64{
		"malformed":    known.Drops.Malformed,
		"unknown cell": known.Drops.UnknownCell,
		"stale":        known.Drops.Stale,
	}))
	return nil
}

// showRegions prints a row for each region with other cells.
func showRegions(w io.Writer, known *cells.Report) error {
	tab := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(tab, "OTHER CELLS OF\tCELLS\tHEARD\tRELAYS\tSERVING\tPER S\tHELD\tSENT AWAY PER S")
	for _, region := range known.Regions {
		if region.Cells == 0 { // the relay's own cell only
			continue
		}
		fmt.Fprintf(tab, "%s\t%d\t%d\t%d\t%d\t%.1f\t%d\t%.1f\n",
			regionName(region.Name), region.Cells, region.KnownCells, region.Relays, region.ServingRelays,
			region.RequestRate, region.OpenConnections, region.DrainRate)
	}
	return tab.Flush()
}

// ago returns a time in ms, rounded for reading.
func ago(ms float64) time.Duration {
	return (time.Duration(ms) * time.Millisecond).Round(100 * time.Millisecond)
}

// showCell prints the row of one cell.
func showCell(w io.Writer, region string, c cells.CellReport) {
	age := "-"
	if !c.OwnCell && c.AgeMs >= 0 {
		age = ago(float64(c.AgeMs)).String()
	}
	plan := fmt.Sprint(c.Plan)
	if c.PlanMismatch {
		plan += " (another table)"
	}
	fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%.1f\t%d\t%s\n",
		c.Name, regionName(region), cellState(c), age, orNobody(c.Representative), plan, c.JoinedPlan, c.Epoch,
		c.Relays, c.ServingRelays, c.RequestRate, c.OpenConnections, strings.Join(c.DepartedRelays, " "))
}

// cellHeadline returns what the relay knows of its own cell's plan, in a line.
func cellHeadline(r *membership.Report, known *cells.Report) string {
	line := fmt.Sprintf("cell %s of %s: speaker %s, plan %d",
		known.Cell, regionName(known.Region), orNobody(known.Representative), known.Plan)
	if known.FilePlan != known.Plan {
		line += fmt.Sprintf(" (the file has %d)", known.FilePlan)
	}
	line += fmt.Sprintf(", entered %d, open %d", known.JoinedPlan, known.ActivatedPlan)
	if c := r.Cell; c != nil {
		if c.Plan > 0 {
			line += fmt.Sprintf(", near %.4f, far %.4f of a budget", c.NearBudget, c.FarBudget)
		}
		if c.PendingReason != membership.PlanActive.String() {
			line += ", waits: " + c.PendingReason
		}
	}
	if known.DirectoryAgeMs >= 0 {
		line += fmt.Sprintf(", other cells told %s ago", ago(float64(known.DirectoryAgeMs)))
	}
	return line
}

func cellState(c cells.CellReport) string {
	switch {
	case c.OwnCell:
		return "here"
	case c.Known:
		return "heard"
	case c.AgeMs >= 0:
		return "lost"
	}
	return "unheard"
}

func regionName(region string) string {
	if region == "" {
		return "all regions"
	}
	return region
}

func orNobody(relay string) string {
	if relay == "" {
		return "nobody"
	}
	return relay
}

// dropZeros deletes the counts that are 0, and returns the others.
func dropZeros(counts map[string]uint64) map[string]uint64 {
	for reason, n := range counts {
		if n == 0 {
			delete(counts, reason)
		}
	}
	return counts
}

// cellChanges returns the differences between two answers of a relay as to cells, a line each.
func cellChanges(old, now *cells.Report) (lines []string) {
	if now == nil {
		return nil
	}
	if old == nil {
		old = &cells.Report{}
	}
	if old.Representative != now.Representative {
		lines = append(lines, fmt.Sprintf("cell %s: speaker %s", now.Cell, orNobody(now.Representative)))
	}
	if planChanged(old, now) {
		lines = append(lines, fmt.Sprintf("cell %s: plan %d, entered %d, open %d, the file has %d",
			now.Cell, now.Plan, now.JoinedPlan, now.ActivatedPlan, now.FilePlan))
	}
	regions := map[string]cells.RegionReport{}
	before := map[string]cells.CellReport{}
	for _, region := range old.Regions {
		regions[region.Name] = region
		for _, c := range region.CellReports {
			before[c.Name] = c
		}
	}
	for _, region := range now.Regions {
		if was := regions[region.Name]; was.Cells != region.Cells || was.KnownCells != region.KnownCells {
			lines = append(lines, fmt.Sprintf("region %s: %d of %d other cells heard",
				regionName(region.Name), region.KnownCells, region.Cells))
		}
		for _, c := range region.CellReports {
			was, known := before[c.Name]
			if c.OwnCell || known && !cellChanged(was, c) {
				continue
			}
			lines = append(lines, fmt.Sprintf("cell %s: %s, speaker %s, plan %d, entered %d",
				c.Name, cellState(c), orNobody(c.Representative), c.Plan, c.JoinedPlan))
		}
	}
	return lines
}

func planChanged(old, now *cells.Report) bool {
	return old.Plan != now.Plan || old.FilePlan != now.FilePlan ||
		old.JoinedPlan != now.JoinedPlan || old.ActivatedPlan != now.ActivatedPlan
}

func cellChanged(was, now cells.CellReport) bool {
	return was.Representative != now.Representative || was.Plan != now.Plan ||
		was.JoinedPlan != now.JoinedPlan || cellState(was) != cellState(now)
}
