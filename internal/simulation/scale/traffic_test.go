package scale

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"capersail/internal/fleet/membership"
)

// A packet's parts are counted by what they are for, however they share it, and every byte is counted once.
func TestKinds(t *testing.T) {
	envelope := func(kind int, body any) []byte {
		text, err := cbor.Marshal([]any{1, "relay", uint64(1) << 40, 7, kind, body})
		if err != nil {
			t.Fatal(err)
		}
		return append([]byte{typeUser}, text...)
	}
	message := func(k membership.Kind) []byte {
		return envelope(envelopeMessage, membership.Message{Kind: k, Epoch: 3, From: 1})
	}
	for _, c := range []struct {
		part []byte
		want Kind
	}{
		{[]byte{typePing, 1, 2}, Probes}, {[]byte{typeAck}, Probes}, {[]byte{typeNack}, Probes}, {[]byte{4, 1}, Liveness}, {envelope(envelopeStatus, map[int]int{1: 1}), Statuses},
		{message(membership.Renew), Leases}, {message(membership.Renewed), Leases}, {message(membership.Accept), Consensus}, {envelope(envelopeReadings, []int{}), LoadReports},
		{envelope(envelopePlaced, []int{}), Placements}, {envelope(9, 1), Others}, {envelope(envelopeSummary, 1), CellSummaries}, {envelope(envelopeDirectory, 1), CellDirectories}, {envelope(envelopeOfCell, []any{7, envelopeStatus, 1}), Statuses},
		{envelope(envelopeOfCell, []any{uint32(1) << 31, envelopeMessage, membership.Message{Kind: membership.Renew}}), Leases}, {[]byte{99}, Others}, {[]byte{typeUser, 1}, Others},
	} {
		probe := []byte{typeIndirect, 5, 5, 5}
		compound := []byte{typeCompound, 2, 0, byte(len(probe)), byte(len(c.part) >> 8), byte(len(c.part))}
		compound = append(append(compound, probe...), c.part...)
		packet := append([]byte{typeLabel, 2, 'a', 'b', typeChecksum, 0, 0, 0, 0}, compound...)
		var alone, together trafficCounter
		alone.countPacket("", c.part)
		together.countPacket("", packet)
		if got := alone.snapshot(); got[c.want].Messages != 1 || got[c.want].Bytes != uint64(len(c.part)) {
			t.Errorf("%v: %+v", c.want, got)
		}
		sum, got := uint64(0), together.snapshot()
		for _, k := range got {
			sum += k.Bytes
		}
		if sum != uint64(len(packet)) || got[c.want].Messages == 0 || got[Probes].Messages == 0 {
			t.Errorf("%v beside a probe: %+v, %d of %d bytes", c.want, got, sum, len(packet))
		}
	}
}

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
			if LargeLayout.Delay(a, b) != LargeLayout.Delay(b, a) || (i == j) != (LargeLayout.Delay(a, b) == delayInZone) {
				t.Errorf("%v to %v: %v and %v", a, b, LargeLayout.Delay(a, b), LargeLayout.Delay(b, a))
			}
		}
	}
}
