package scale

import "testing"

// The layout has every zone in one region, and delays that are the same both ways.
func TestLayout(t *testing.T) {
	regions, zones := map[string]bool{}, map[string]string{}
	for i := range 1100 {
		p := LargeLayout.Place(i)
		regions[p.Region] = true
		if r, known := zones[p.Zone]; known && r != p.Region {
			t.Errorf("%s is in %s and %s", p.Zone, r, p.Region)
		}
		zones[p.Zone] = p.Region
	}
	if len(regions) != 5 || len(zones) != 17 {
		t.Errorf("%d regions, %d zones", len(regions), len(zones))
	}
	for i := range LargeLayout.Zones {
		for j := range LargeLayout.Zones {
			a, b := LargeLayout.Place(i), LargeLayout.Place(j)
			there, back := LargeLayout.Delay(a, b), LargeLayout.Delay(b, a)
			if there != back || (i == j) != (there == delayInZone) {
				t.Errorf("%v to %v: %v and %v", a, b, there, back)
			}
		}
	}
}
