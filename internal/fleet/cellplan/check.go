package cellplan

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"strings"
)

// Bounds of a plan.
const (
	MaxCells = 256
	// MaxRegionalRelays is of a cell with a region. What each costs is in docs/measurements/capacity.md.
	MaxRegionalRelays = 64
	MaxSpanningRelays = 4096    // relays of a cell that spans all regions
	MaxContacts       = 16      // of a cell
	MaxNameBytes      = 64      // bytes of a cell's, region's or zone's name
	MaxPlanNumber     = 1 << 62 // of a plan; fits the signed integers of the file
)

// FieldError is something in a plan that cannot be, and the key in the file where it stands, from the plan's
// table on.
type FieldError struct {
	Key   string // as "cells[3].relays", from 0
	Cause string
}

// Error is the key and the cause.
func (e *FieldError) Error() string { return e.Key + ": " + e.Cause }

// Check returns every problem of the plan, each a *Problem, joined in the order of the file; nil if it
// can be used.
func (p Plan) Check() error {
	c := checker{plan: p, names: map[string]int{}, regions: map[string]string{}}
	c.checkNumbers()
	for i, cell := range p.Cells {
		c.checkCell(i, cell)
	}
	if len(c.problems) == 0 { // the sums of a table that is wrong as it stands mean nothing
		c.checkSums()
	}
	return errors.Join(c.problems...)
}

// checker gathers the problems of a plan.
type checker struct {
	plan     Plan
	names    map[string]int    // the cell that has the name
	regions  map[string]string // by zone
	problems []error
}

// addProblem notes a problem at a key.
func (c *checker) addProblem(key, format string, args ...any) {
	c.problems = append(c.problems, &FieldError{Key: key, Cause: fmt.Sprintf(format, args...)})
}

// checkNumbers checks the plan's own fields, and that there is something to divide.
func (c *checker) checkNumbers() {
	p := c.plan
	if p.Number < 1 || p.Number > MaxPlanNumber {
		c.addProblem("number", "%d is not from 1 to %d", p.Number, MaxPlanNumber)
	}
	if math.IsNaN(p.HomeShare) || p.HomeShare < 0 || p.HomeShare > 1 {
		c.addProblem("home_share", "%v is not over 0 and at most 1", p.HomeShare)
	}
	if len(p.Cells) == 0 || len(p.Cells) > MaxCells {
		c.addProblem("cells", "%d cells; from 1 to %d can be", len(p.Cells), MaxCells)
		return
	}
	total := 0
	for _, cell := range p.Cells {
		if cell.Relays > 0 {
			total = min(total+cell.Relays, math.MaxInt32)
		}
	}
	if total == 0 {
		c.addProblem("cells", "no cell has relays")
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
		c.addProblem(cellKey(i, "relays"), "%d relays in cell %q; from 0 to %d can be", cell.Relays, cell.Name, most)
	}
	c.checkContacts(i, cell)
}

// cellKey is where a field of a cell stands in the file.
func cellKey(i int, field string) string { return fmt.Sprintf("cells[%d].%s", i, field) }

// checkName checks that a cell's name is one, and no other's.
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
		c.addProblem(cellKey(i, "contacts"), "%d contacts; at most %d", len(cell.Contacts), MaxContacts)
		return
	}
	if len(cell.Contacts) == 0 && cell.Relays > 0 && len(c.plan.Cells) > 1 {
		c.addProblem(cellKey(i, "contacts"), "none: no other cell could reach %q", cell.Name)
	}
	for j, contact := range cell.Contacts {
		if cause := contactProblem(contact); cause != "" {
			c.addProblem(fmt.Sprintf("cells[%d].contacts[%d]", i, j), "%s", cause)
		}
	}
}

// checkLocation checks where a cell stands: in a region and one of its zones, or nowhere.
func (c *checker) checkLocation(i int, cell Cell) {
	if cell.SpansRegions() {
		if cell.Zone != "" {
			c.addProblem(cellKey(i, "region"), "empty, but zone is %q; a cell that spans all regions has neither",
				cell.Zone)
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
		c.addProblem(cellKey(i, "zone"), "%q is in region %q and in %q", cell.Zone, region, cell.Region)
		return
	}
	c.regions[cell.Zone] = cell.Region
}

// checkSums checks, by adding up the parts, that no budget is given away more than once.
func (c *checker) checkSums() {
	shares := c.plan.cellShares()
	summed := map[string]bool{}
	for i, cell := range c.plan.Cells {
		if shares[i].near < shares[i].far {
			c.addProblem(fmt.Sprintf("cells[%d]", i),
				"%q would hold less near (%d) than far (%d)", cell.Name, shares[i].near, shares[i].far)
		}
		if summed[cell.Zone] {
			continue
		}
		summed[cell.Zone] = true
		if total := sumShares(shares, cell.Zone); total > FullBudget {
			c.addProblem(fmt.Sprintf("cells[%d].zone", i),
				"the cells would hold %d of %d of a server in %q", total, FullBudget, cell.Zone)
		}
	}
}

// nameProblem tells why a name can't be one, "" if it can.
func nameProblem(name string) string {
	switch {
	case name == "":
		return "empty"
	case len(name) > MaxNameBytes:
		return fmt.Sprintf("%d bytes long; at most %d", len(name), MaxNameBytes)
	case strings.ContainsFunc(name, func(r rune) bool { return r <= ' ' || r == 0x7f || r == 0xfffd }):
		return fmt.Sprintf("%q has characters that a name can't have", name)
	}
	return ""
}

// contactProblem tells why an address can't be a contact, "" if it can.
func contactProblem(contact string) string {
	address, err := netip.ParseAddrPort(contact)
	if err != nil || address.Port() == 0 || address.Addr().IsUnspecified() || address.Addr().IsMulticast() {
		return fmt.Sprintf("%q is not an IP address and a port", contact)
	}
	return ""
}
