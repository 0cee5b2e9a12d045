package cellplan

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"strings"
)

// Limits of a plan.
const (
	MaxCells = 256
	// MaxRegionalRelays is the limit for a cell with a region. docs/measurements/capacity.md lists the cost
	// per relay.
	MaxRegionalRelays = 64
	MaxSpanningRelays = 4096    // limit for a cell that spans all regions
	MaxContacts       = 16      // per cell
	MaxNameBytes      = 64      // of the name of a cell, region or zone
	MaxPlanNumber     = 1 << 62 // fits the signed integers of the plan file
)

// FieldError is an invalid value in a plan, with its key in the plan file relative to the plan's table.
type FieldError struct {
	Key   string // such as "cells[3].relays", with indices from 0
	Cause string
}

// Error returns the key and the cause.
func (e *FieldError) Error() string { return e.Key + ": " + e.Cause }

// Check returns all invalid values of the plan in the order of the file, each as a *FieldError, joined with
// errors.Join. It returns nil if the plan is valid.
func (p Plan) Check() error {
	c := checker{plan: p, names: map[string]int{}, regions: map[string]string{}}
	c.checkNumbers()
	for i, cell := range p.Cells {
		c.checkCell(i, cell)
	}
	if len(c.problems) == 0 { // the budget shares of invalid cells have no meaning
		c.checkSums()
	}
	return errors.Join(c.problems...)
}

// checker collects the invalid values of a plan.
type checker struct {
	plan     Plan
	names    map[string]int    // index of the cell by its name
	regions  map[string]string // by zone
	problems []error
}

// addProblem records an invalid value at a key.
func (c *checker) addProblem(key, format string, args ...any) {
	c.problems = append(c.problems, &FieldError{Key: key, Cause: fmt.Sprintf(format, args...)})
}

// checkNumbers checks the fields of the plan itself, and that at least one cell has relays.
func (c *checker) checkNumbers() {
	p := c.plan
	if p.Number < 1 || p.Number > MaxPlanNumber {
		c.addProblem("number", "%d is not from 1 to %d", p.Number, MaxPlanNumber)
	}
	if math.IsNaN(p.HomeShare) || p.HomeShare < 0 || p.HomeShare > 1 {
		c.addProblem("home_share", "%v is not over 0 and at most 1", p.HomeShare)
	}
	if len(p.Cells) == 0 || len(p.Cells) > MaxCells {
		c.addProblem("cells", "%d cells; from 1 to %d are allowed", len(p.Cells), MaxCells)
		return
	}
	total := 0
	for _, cell := range p.Cells {
		if cell.Relays > 0 {
			total = min(total+cell.Relays, math.MaxInt32)
		}
	}
	if total == 0 {
		c.addProblem("cells", "no cell has relays; at least one cell needs relays > 0")
	}
}

// checkCell checks one cell.
func (c *checker) checkCell(i int, cell Cell) {
	c.checkName(i, cell)
	c.checkLocation(i, cell)
	most := MaxRegionalRelays
	if cell.SpansRegions() {
		most = MaxSpanningRelays
	}
	if cell.Relays < 0 || cell.Relays > most {
		c.addProblem(cellKey(i, "relays"), "%d relays in cell %q; from 0 to %d are allowed", cell.Relays,
			cell.Name, most)
	}
	c.checkContacts(i, cell)
}

// cellKey returns the key of a cell's field in the plan file.
func cellKey(i int, field string) string { return fmt.Sprintf("cells[%d].%s", i, field) }

// checkName checks that a cell's name is valid and unique.
func (c *checker) checkName(i int, cell Cell) {
	if cause := nameProblem(cell.Name); cause != "" {
		c.addProblem(cellKey(i, "name"), "%s", cause)
		return
	}
	if before, taken := c.names[cell.Name]; taken {
		c.addProblem(cellKey(i, "name"), "%q is also the name of cells[%d]", cell.Name, before)
		return
	}
	c.names[cell.Name] = i
}

// checkContacts checks that other cells can reach the cell.
func (c *checker) checkContacts(i int, cell Cell) {
	if len(cell.Contacts) > MaxContacts {
		c.addProblem(cellKey(i, "contacts"), "%d contacts; at most %d are allowed", len(cell.Contacts),
			MaxContacts)
		return
	}
	if len(cell.Contacts) == 0 && cell.Relays > 0 && len(c.plan.Cells) > 1 {
		c.addProblem(cellKey(i, "contacts"),
			"none: no other cell could reach cell %q; add the address of a relay", cell.Name)
	}
	for j, contact := range cell.Contacts {
		if cause := contactProblem(contact); cause != "" {
			c.addProblem(fmt.Sprintf("cells[%d].contacts[%d]", i, j), "%s", cause)
		}
	}
}

// checkLocation checks that a cell has both a region and a zone of that region, or neither.
func (c *checker) checkLocation(i int, cell Cell) {
	if cell.SpansRegions() {
		if cell.Zone != "" {
			c.addProblem(cellKey(i, "region"),
				"empty, but zone is %q; set both, or neither for a cell that spans all regions", cell.Zone)
		}
		return
	}
	if cause := nameProblem(cell.Region); cause != "" {
		c.addProblem(cellKey(i, "region"), "%s", cause)
		return
	}
	if cause := nameProblem(cell.Zone); cause != "" {
		c.addProblem(cellKey(i, "zone"), "%s", cause)
		return
	}
	if region, known := c.regions[cell.Zone]; known && region != cell.Region {
		c.addProblem(cellKey(i, "zone"), "%q is in region %q and in %q; a zone belongs to one region",
			cell.Zone, region, cell.Region)
		return
	}
	c.regions[cell.Zone] = cell.Region
}

// checkSums checks that the budget shares of all cells add up to at most the full budget in every zone.
func (c *checker) checkSums() {
	shares := c.plan.cellShares()
	summed := map[string]bool{}
	for i, cell := range c.plan.Cells {
		if shares[i].near < shares[i].far {
			c.addProblem(fmt.Sprintf("cells[%d]", i),
				"budget share of cell %q would be smaller in its region (%d) than elsewhere (%d)", cell.Name,
				shares[i].near, shares[i].far)
		}
		if summed[cell.Zone] {
			continue
		}
		summed[cell.Zone] = true
		if total := sumShares(shares, cell.Zone); total > FullBudget {
			c.addProblem(fmt.Sprintf("cells[%d].zone", i),
				"budget shares of all cells add up to %d of %d for a server in zone %q", total, FullBudget,
				cell.Zone)
		}
	}
}

// nameProblem returns why a name is invalid, or "" if it is valid.
func nameProblem(name string) string {
	switch {
	case name == "":
		return "empty"
	case len(name) > MaxNameBytes:
		return fmt.Sprintf("%d bytes long; at most %d are allowed", len(name), MaxNameBytes)
	case strings.ContainsFunc(name, func(r rune) bool { return r <= ' ' || r == 0x7f || r == 0xfffd }):
		return fmt.Sprintf("%q contains a space, a control character or invalid UTF-8", name)
	}
	return ""
}

// contactProblem returns why an address is not a valid contact, or "" if it is valid.
func contactProblem(contact string) string {
	address, err := netip.ParseAddrPort(contact)
	if err != nil || address.Port() == 0 || address.Addr().IsUnspecified() || address.Addr().IsMulticast() {
		return fmt.Sprintf("%q is not a unicast IP address with a port (ip:port)", contact)
	}
	return ""
}
