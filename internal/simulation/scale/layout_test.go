package scale

import "testing"

// Every zone is in one region, and delays are the same in both directions.
func TestLayout(t *testing.T) {
	regions, zones := map[string]bool{}, map[string]string{}
	for i := range 1100 {
		p := LargeLayout.Place(i)
		regions[p.Region] = true
		if r, known := zones[p.Zone]; known && r != p.Region {
			t.Errorf("zone %s is in regions %s and %s, want one region", p.Zone, r, p.Region)
		}
		zones[p.Zone] = p.Region
	}
	if len(regions) != 5 || len(zones) != 17 {
		t.Errorf("got %d regions and %d zones, want 5 and 17", len(regions), len(zones))
	}
	for i := range LargeLayout.Zones {
		for j := range LargeLayout.Zones {
			a, b := LargeLayout.Place(i), LargeLayout.Place(j)
			there, back := LargeLayout.Delay(a, b), LargeLayout.Delay(b, a)
			if there != back || (i == j) != (there == delayInZone) {
				t.Errorf("delays between %v and %v: %v and %v, want equal ones, delayInZone in a zone only",
					a, b, there, back)
			}
		}
	}
}
