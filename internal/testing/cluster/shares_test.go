package cluster

import (
	"testing"

	"capersail/internal/testing/faultpoint"
)

// The checker finds a sum over one, and does not find one where a share has lapsed or its process has ended.
func TestMostTaken(t *testing.T) {
	line := func(at float64, name string, share, until float64) faultpoint.Noted {
		return faultpoint.Noted{T: at, Name: name, Share: share, Until: until}
	}
	for want, all := range map[float64][]faultpoint.Noted{
		1.5: {line(0, "a", 0.5, 0), line(1, "b", 1, 9)},
		1:   {line(0, "a", 0.5, 1), line(2, "b", 1, 9)},
		0.9: {line(0, "a", 0.5, 0), {T: 1, Name: "a", Event: "kill"}, line(2, "b", 0.9, 9)},
	} {
		if got, _ := PeakShareSum(all); got != want {
			t.Errorf("%v, want %v", got, want)
		}
	}
}

// The checker adds shares up zone by zone: far ones count elsewhere, near ones in their zones, a flat relay's everywhere.
func TestMostTakenInZones(t *testing.T) {
	line := func(at float64, name string, near, far float64, zones ...string) faultpoint.Noted {
		return faultpoint.Noted{T: at, Name: name, Share: near, Far: far, Zones: zones, Plan: 1}
	}
	for want, all := range map[float64][]faultpoint.Noted{
		1:    {line(0, "a", 0.75, 0.25, "x"), line(1, "b", 0.75, 0.25, "y")},
		1.5:  {line(0, "a", 0.75, 0.25, "x"), line(1, "b", 0.75, 0.25, "x", "y")},
		0.5:  {line(0, "a", 0.5, 0.5), line(1, "a", 0.25, 0.25)},
		1.75: {line(0, "a", 0.75, 0.25, "x"), {T: 1, Name: "b", Share: 1}},
	} {
		if got, _ := PeakShareSum(all); got != want {
			t.Errorf("%v, want %v", got, want)
		}
	}
	lapses := line(0, "a", 0.5, 0, "x")
	lapses.Until = 4
	if got := LowestNearShare([]faultpoint.Noted{lapses, line(5, "a", 0.5, 0, "x")}, "a", 1, 9); got != 0 {
		t.Errorf("a share that has lapsed for a while is %v", got)
	}
	if got := LowestNearShare([]faultpoint.Noted{line(0, "a", 0.5, 0, "x"), line(5, "a", 0.25, 0, "x"), line(6, "a", 0.5, 0, "x")}, "a", 1, 9); got != 0.25 {
		t.Errorf("the least is %v", got)
	}
}
