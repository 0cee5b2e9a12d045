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
	// rounding is how far a figure of the page may be from its own sum, as it has three digits.
	roundingTolerance = 0.01
)

// row is one line of a table, by its column's heading.
type row map[string]string

// readTables returns the page's tables, each with its rows.
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
			t.Errorf("%d cells under %d heads: %s", len(cells), len(heads), line)
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

// parseNumber reads a figure of the page, as 51,818 or 0.0045.
func parseNumber(cell string) (float64, bool) {
	x, err := strconv.ParseFloat(strings.ReplaceAll(cell, ",", ""), 64)
	return x, err == nil
}

// isNear reports whether a figure is its sum, but for rounding.
func isNear(figure, sum float64) bool {
	return math.Abs(figure-sum) <= roundingTolerance*math.Abs(sum) || math.Abs(figure-sum) < 1e-9
}

// What the page works out is slope x size + constant, for both sizes.
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
					t.Errorf("%q: %s is %q, %s is %q", r["what"], size, r[size], value, r[value])
				} else if !isNear(figure, line.At(at)) {
					t.Errorf("%q: %s is %s, and %g x %g + %g is %g",
						r["what"], value, r[value], slope, at, constant, line.At(at))
				}
			}
			checked++
		}
	}
	if checked < 20 {
		t.Errorf("%d lines on the page", checked)
	}
}

// Where a table ends in a sum, it is that of the rows above.
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
				t.Errorf("sum of %q: %s, and the rows add up to %g", head, cell, sum)
			}
			checked++
		}
	}
	if checked < 3 {
		t.Errorf("%d sums on the page", checked)
	}
}

// No cell of the page is left blank: what was not run says so.
func TestPageHasNoBlanks(t *testing.T) {
	for _, table := range readTables(t) {
		for i, r := range table {
			for head, cell := range r {
				if cell == "" {
					t.Errorf("row %d (%v): nothing under %q", i+1, r["what"], head)
				}
			}
		}
	}
}

// The sizes that the page names are those of this package.
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
				t.Errorf("%s: %g, want %g", r["what"], figure, size)
			}
		}
	}
	if found != len(want) {
		t.Errorf("%d of %d sizes are on the page", found, len(want))
	}
}
