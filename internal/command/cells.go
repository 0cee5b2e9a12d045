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

// showCells prints a row for each region and a row for each cell. Only the cell's representative knows the
// other cells one by one: another relay prints the row of its own cell. It prints nothing if the relay has no
// cells.
func showCells(w io.Writer, r *membership.Report, cellReport *cells.Report) error {
	if cellReport == nil {
		return nil
	}
	fmt.Fprintln(w)
	fmt.Fprintln(w, cellHeadline(r, cellReport))
	if err := showRegions(w, cellReport); err != nil {
		return err
	}
	if cellReport.Representative != r.Relay {
		fmt.Fprintf(w, "cells one by one are known at the speaker, %s\n",
			nameOrNobody(cellReport.Representative))
	}
	tab := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(tab,
		"CELL\tREGION\tSTATE\tAGE\tSPEAKER\tPLAN\tENTERED\tEPOCH\tRELAYS\tSERVING\tPER S\tHELD\tGONE")
	for _, region := range cellReport.Regions {
		for _, c := range region.CellReports {
			if cellReport.Representative == r.Relay || c.OwnCell {
				showCell(tab, region.Name, c)
			}
		}
	}
	if err := tab.Flush(); err != nil {
		return err
	}
	showCounts(w, "dropped of cells:", dropZeros(map[string]uint64{
		"malformed":    cellReport.Drops.Malformed,
		"unknown cell": cellReport.Drops.UnknownCell,
		"stale":        cellReport.Drops.Stale,
	}))
	return nil
}

// showRegions prints a row for each region that has cells other than the relay's own.
func showRegions(w io.Writer, cellReport *cells.Report) error {
	tab := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(tab, "OTHER CELLS OF\tCELLS\tHEARD\tRELAYS\tSERVING\tPER S\tHELD\tSENT AWAY PER S")
	for _, region := range cellReport.Regions {
		if region.Cells == 0 { // the region has no cell but the relay's own
			continue
		}
		fmt.Fprintf(tab, "%s\t%d\t%d\t%d\t%d\t%.1f\t%d\t%.1f\n",
			regionName(region.Name), region.Cells, region.KnownCells, region.Relays, region.ServingRelays,
			region.RequestRate, region.OpenConnections, region.DrainRate)
	}
	return tab.Flush()
}

// roundedDuration returns a duration given in ms, rounded to 100 ms for display.
func roundedDuration(ms float64) time.Duration {
	return (time.Duration(ms) * time.Millisecond).Round(100 * time.Millisecond)
}

// showCell prints the row of one cell of a region.
func showCell(w io.Writer, region string, c cells.CellReport) {
	age := "-"
	if !c.OwnCell && c.AgeMs >= 0 {
		age = roundedDuration(float64(c.AgeMs)).String()
	}
	plan := fmt.Sprint(c.Plan)
	if c.PlanMismatch {
		plan += " (another table)"
	}
	fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%.1f\t%d\t%s\n",
		c.Name, regionName(region), cellState(c), age, nameOrNobody(c.Representative), plan, c.JoinedPlan,
		c.Epoch, c.Relays, c.ServingRelays, c.RequestRate, c.OpenConnections,
		strings.Join(c.DepartedRelays, " "))
}

// cellHeadline returns one line with the relay's own cell: its representative, its plan, and its shares of a
// budget.
func cellHeadline(r *membership.Report, cellReport *cells.Report) string {
	line := fmt.Sprintf("cell %s of %s: speaker %s, plan %d",
		cellReport.Cell, regionName(cellReport.Region), nameOrNobody(cellReport.Representative),
		cellReport.Plan)
	if cellReport.FilePlan != cellReport.Plan {
		line += fmt.Sprintf(" (the file has %d)", cellReport.FilePlan)
	}
	line += fmt.Sprintf(", entered %d, open %d", cellReport.JoinedPlan, cellReport.ActivatedPlan)
	if c := r.Cell; c != nil {
		if c.Plan > 0 {
			line += fmt.Sprintf(", near %.4f, far %.4f of a budget", c.NearBudget, c.FarBudget)
		}
		if c.PendingReason != membership.PlanActive.String() {
			line += ", waits: " + c.PendingReason
		}
	}
	if cellReport.DirectoryAgeMs >= 0 {
		line += fmt.Sprintf(", other cells told %s ago", roundedDuration(float64(cellReport.DirectoryAgeMs)))
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

func nameOrNobody(relay string) string {
	if relay == "" {
		return "nobody"
	}
	return relay
}

// dropZeros deletes the entries of counts that are 0, and returns counts.
func dropZeros(counts map[string]uint64) map[string]uint64 {
	for reason, n := range counts {
		if n == 0 {
			delete(counts, reason)
		}
	}
	return counts
}

// cellChanges returns one line for each difference between two cell reports of a relay. old may be nil.
func cellChanges(old, now *cells.Report) (lines []string) {
	if now == nil {
		return nil
	}
	if old == nil {
		old = &cells.Report{}
	}
	if old.Representative != now.Representative {
		lines = append(lines, fmt.Sprintf("cell %s: speaker %s", now.Cell, nameOrNobody(now.Representative)))
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
				c.Name, cellState(c), nameOrNobody(c.Representative), c.Plan, c.JoinedPlan))
		}
	}
	return lines
}

func planChanged(old, now *cells.Report) bool {
	return old.Plan != now.Plan || old.FilePlan != now.FilePlan ||
		old.JoinedPlan != now.JoinedPlan || old.ActivatedPlan != now.ActivatedPlan
}

func cellChanged(old, now cells.CellReport) bool {
	return old.Representative != now.Representative || old.Plan != now.Plan ||
		old.JoinedPlan != now.JoinedPlan || cellState(old) != cellState(now)
}
