package scale

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"capersail/internal/fleet/membership"
)

// The messages of a packet are counted by their kinds, in a packet of their own or a shared one, and every
// byte is counted once.
func TestTrafficIsCountedByKind(t *testing.T) {
	envelope := func(kind int, body any) []byte {
		text, err := cbor.Marshal([]any{1, "relay", uint64(1) << 40, 7, kind, body})
		if err != nil {
			t.Fatal(err)
		}
		return append([]byte{typeUser}, text...)
	}
	message := func(k membership.MessageKind) []byte {
		return envelope(envelopeMessage, membership.Message{Kind: k, Epoch: 3, FromIncarnation: 1})
	}
	ofCell := func(cell any, kind int, body any) []byte {
		return envelope(envelopeForCell, []any{cell, kind, body})
	}
	for name, c := range map[string]struct {
		part []byte
		want TrafficKind
	}{
		"ping":             {[]byte{typePing, 1, 2}, Probes},
		"ack":              {[]byte{typeAck}, Probes},
		"nack":             {[]byte{typeNack}, Probes},
		"alive":            {[]byte{4, 1}, Liveness},
		"status":           {envelope(envelopeStatus, map[int]int{1: 1}), Statuses},
		"renew":            {message(membership.RenewLease), Leases},
		"renewed":          {message(membership.LeaseRenewed), Leases},
		"accept":           {message(membership.Accept), Consensus},
		"load reports":     {envelope(envelopeReadings, []int{}), LoadReports},
		"placements":       {envelope(envelopePlacements, []int{}), Placements},
		"unknown envelope": {envelope(9, 1), OtherTraffic},
		"cell summary":     {envelope(envelopeSummary, 1), CellSummaries},
		"cell directory":   {envelope(envelopeDirectory, 1), CellDirectories},
		"status of a cell": {ofCell(7, envelopeStatus, 1), Statuses},
		"renew of a cell": {
			ofCell(uint32(1)<<31, envelopeMessage, membership.Message{Kind: membership.RenewLease}),
			Leases,
		},
		"unknown message": {[]byte{99}, OtherTraffic},
		"cut envelope":    {[]byte{typeUser, 1}, OtherTraffic},
	} {
		t.Run(name, func(t *testing.T) { checkCounted(t, c.part, c.want) })
	}
}

// checkCounted checks that a message is counted once and by its kind, alone in a packet and beside a probe.
func checkCounted(t *testing.T, part []byte, want TrafficKind) {
	t.Helper()
	var alone trafficCounter
	alone.countPacket("", part)
	if got := alone.snapshot(); got[want].Messages != 1 || got[want].Bytes != uint64(len(part)) {
		t.Errorf("a message of kind %v alone is miscounted: %+v", want, got)
	}
	probe := []byte{typeIndirectPing, 5, 5, 5}
	packet := []byte{typeLabel, 2, 'a', 'b', typeChecksum, 0, 0, 0, 0}
	packet = append(packet, typeCompound, 2, 0, byte(len(probe)), byte(len(part)>>8), byte(len(part)))
	packet = append(packet, probe...)
	packet = append(packet, part...)
	var together trafficCounter
	together.countPacket("", packet)
	got := together.snapshot()
	sum := uint64(0)
	for _, k := range got {
		sum += k.Bytes
	}
	if sum != uint64(len(packet)) || got[want].Messages == 0 || got[Probes].Messages == 0 {
		t.Errorf("a message of kind %v beside a probe is miscounted: %+v, %d of %d bytes",
			want, got, sum, len(packet))
	}
}
