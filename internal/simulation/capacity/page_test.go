package capacity

import (
	"math"
	"os"
	"strconv"
	"strings"
	"testing"
)

const (
	pagePath = "../../../docs/CAPACITY.md"
	// roundingTolerance is the accepted relative difference between a figure of the page and the computed
	// value, as the page rounds to three digits.
	roundingTolerance = 0.01
)

// row is a table row, by column heading.
type row map[string]string

// readTables returns the rows of each table on the page.
func readTables(t *testing.T) (all [][]row) {
	t.Helper()
	text, err := os.ReadFile(pagePath)
	if err != nil {
		t.Fatal(err)
	}
	var heads []string
	for _, line := range strings.Split(string(text), "\n") {
		if !strings.HasPrefix(line, "|") {
			heads = nil
			continue
		}
		cells := strings.Split(strings.Trim(line, "|"), "|")
		switch {
		case heads == nil:
			heads = cells
			all = append(all, nil)
		case strings.HasPrefix(strings.TrimSpace(cells[0]), "---"):
		case len(cells) != len(heads):
			t.Errorf("table row has %d cells, its heading has %d: %s", len(cells), len(heads), line)
		default:
			r := row{}
			for i, cell := range cells {
				r[strings.TrimSpace(heads[i])] = strings.TrimSpace(cell)
			}
			all[len(all)-1] = append(all[len(all)-1], r)
		}
	}
	return all
}

// parseNumber parses a figure of the page, such as 51,818 or 0.0045.
func parseNumber(cell string) (float64, bool) {
	x, err := strconv.ParseFloat(strings.ReplaceAll(cell, ",", ""), 64)
	return x, err == nil
}

// isNear reports whether a figure equals a computed value within roundingTolerance.
func isNear(figure, sum float64) bool {
	return math.Abs(figure-sum) <= roundingTolerance*math.Abs(sum) || math.Abs(figure-sum) < 1e-9
}

// Each result on the page is slope x size + constant, for both sizes.
func TestPageLines(t *testing.T) {
	checked := 0
	for _, table := range readTables(t) {
		for _, r := range table {
			slope, has := parseNumber(r["slope"])
			constant, hasConstant := parseNumber(r["constant"])
			if !has || !hasConstant {
				continue
			}
			line := Line{Slope: slope, Constant: constant}
			for size, value := range map[string]string{"size today": "today", "size at target": "at target"} {
				at, hasSize := parseNumber(r[size])
				figure, hasFigure := parseNumber(r[value])
				if !hasSize || !hasFigure {
					t.Errorf("row %q needs a size and a figure: %s is %q, %s is %q",
						r["what"], size, r[size], value, r[value])
				} else if !isNear(figure, line.At(at)) {
					t.Errorf("row %q: %s is %s, but %g x %g + %g is %g",
						r["what"], value, r[value], slope, at, constant, line.At(at))
				}
			}
			checked++
		}
	}
	if checked < 20 {
		t.Errorf("checked %d rows with a slope and a constant, want 20 at least", checked)
	}
}

// A last row named sum is the sum of the rows above it.
func TestPageSums(t *testing.T) {
	checked := 0
	for _, table := range readTables(t) {
		if len(table) == 0 || table[len(table)-1]["what"] != "sum" {
			continue
		}
		last := table[len(table)-1]
		for head, cell := range last {
			want, ok := parseNumber(cell)
			if !ok {
				continue
			}
			sum := 0.0
			for _, r := range table[:len(table)-1] {
				x, _ := parseNumber(r[head])
				sum += x
			}
			if !isNear(want, sum) {
				t.Errorf("sum of column %q is %s, but its rows add up to %g", head, cell, sum)
			}
			checked++
		}
	}
	if checked < 3 {
		t.Errorf("checked %d sums, want 3 at least", checked)
	}
}

// No cell of a table is blank: the page states what was not measured.
func TestPageHasNoBlanks(t *testing.T) {
	for _, table := range readTables(t) {
		for i, r := range table {
			for head, cell := range r {
				if cell == "" {
					t.Errorf("row %d (%v) has a blank cell in column %q", i+1, r["what"], head)
				}
			}
		}
	}
}

// The sizes on the page are those of Target.
func TestPageSizes(t *testing.T) {
	target := Target()
	want := map[string]float64{
		"relays":                         target.Relays,
		"connections":                    target.Connections,
		"connections of a relay":         math.Round(target.ConnectionsPerRelay()),
		"deliveries a second":            target.Deliveries,
		"deliveries a second of a relay": target.DeliveriesPerRelay(),
		"shards of topics":               target.Shards,
		"listeners of the largest topic": target.Listeners,
		"regions":                        target.Regions,
		"zones":                          target.Zones,
	}
	found := 0
	for _, table := range readTables(t) {
		for _, r := range table {
			size, known := want[r["what"]]
			figure, ok := parseNumber(r["target"])
			if !known || !ok {
				continue
			}
			found++
			if !isNear(figure, size) {
				t.Errorf("the page has %s as %g, want %g", r["what"], figure, size)
			}
		}
	}
	if found != len(want) {
		t.Errorf("the page has %d of the %d sizes of Target", found, len(want))
	}
}
