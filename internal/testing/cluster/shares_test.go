package cluster

import (
	"testing"
	"time"

	"capersail/internal/testing/faultpoint"
)

// A sum over 1 is found, and none where a share has expired or its process has ended.
func TestPeakShareSum(t *testing.T) {
	line := func(at float64, name string, share, until float64) faultpoint.HistoryLine {
		return faultpoint.HistoryLine{AtMillis: at, Name: name, NearShare: share, UntilMillis: until}
	}
	for want, all := range map[float64][]faultpoint.HistoryLine{
		1.5: {line(0, "a", 0.5, 0), line(1, "b", 1, 9)},
		1:   {line(0, "a", 0.5, 1), line(2, "b", 1, 9)},
		0.9: {line(0, "a", 0.5, 0), {AtMillis: 1, Name: "a", Event: "kill"}, line(2, "b", 0.9, 9)},
	} {
		if got, _ := PeakShareSum(all); got != want {
			t.Errorf("%v, want %v", got, want)
		}
	}
}

// Shares add up zone by zone: far ones count elsewhere, near ones in their zones, a flat relay's everywhere.
func TestPeakShareSumOfZones(t *testing.T) {
	line := func(at float64, name string, near, far float64, zones ...string) faultpoint.HistoryLine {
		return faultpoint.HistoryLine{AtMillis: at, Name: name, NearShare: near, FarShare: far,
			Zones: zones, Plan: 1}
	}
	for want, all := range map[float64][]faultpoint.HistoryLine{
		1:    {line(0, "a", 0.75, 0.25, "x"), line(1, "b", 0.75, 0.25, "y")},
		1.5:  {line(0, "a", 0.75, 0.25, "x"), line(1, "b", 0.75, 0.25, "x", "y")},
		0.5:  {line(0, "a", 0.5, 0.5), line(1, "a", 0.25, 0.25)},
		1.75: {line(0, "a", 0.75, 0.25, "x"), {AtMillis: 1, Name: "b", NearShare: 1}},
	} {
		if got, _ := PeakShareSum(all); got != want {
			t.Errorf("%v, want %v", got, want)
		}
	}
}

// The lowest share is found between two instants, with the last one before them, and an expired one counts as
// 0.
func TestLowestNearShare(t *testing.T) {
	line := func(at, share, until float64) faultpoint.HistoryLine {
		return faultpoint.HistoryLine{
			AtMillis:    at,
			Name:        "a",
			NearShare:   share,
			UntilMillis: until,
			Zones:       []string{"x"},
			Plan:        1,
		}
	}
	for name, c := range map[string]struct {
		all  []faultpoint.HistoryLine
		want float64
	}{
		"expired for a while": {[]faultpoint.HistoryLine{line(0, 0.5, 4), line(5, 0.5, 0)}, 0},
		"reduced for a while": {[]faultpoint.HistoryLine{line(0, 0.5, 0), line(5, 0.25, 0), line(6, 0.5, 0)}, 0.25},
	} {
		if got := LowestNearShare(c.all, "a", time.Millisecond, 9*time.Millisecond); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}
