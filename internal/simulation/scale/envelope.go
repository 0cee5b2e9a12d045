package scale

import "capersail/internal/fleet/membership"

// The kinds of gossip's envelopes on the wire.
const (
	envelopeStatus     = 1
	envelopeMessage    = 2
	envelopeReadings   = 3
	envelopePlacements = 4
	envelopeSummary    = 5
	envelopeDirectory  = 6
	envelopeForCell    = 64 // holds a kind and a body for one cell
	envelopeItems      = 6  // Version, From, Incarnation, Seq, Kind, Body
	cellEnvelopeItems  = 3  // Cell, Kind, Body
)

// envelopeKind returns the kind of traffic of an envelope. It decodes no more than the fields that determine
// the kind.
func envelopeKind(b []byte) TrafficKind {
	if len(b) == 0 || b[0] != 0x80|envelopeItems {
		return OtherTraffic
	}
	b = b[1:]
	var value uint64
	for range envelopeItems - 1 {
		if value, b = readItem(b); b == nil {
			return OtherTraffic
		}
	}
	if value == envelopeForCell && len(b) > 0 && b[0] == 0x80|cellEnvelopeItems {
		b = b[1:]
		for range cellEnvelopeItems - 1 {
			if value, b = readItem(b); b == nil {
				return OtherTraffic
			}
		}
	}
	switch value {
	case envelopeStatus:
		return Statuses
	case envelopeReadings:
		return LoadReports
	case envelopePlacements:
		return Placements
	case envelopeSummary:
		return CellSummaries
	case envelopeDirectory:
		return CellDirectories
	case envelopeMessage:
	default:
		return OtherTraffic
	}
	if len(b) < 3 || b[0]>>5 != 5 || b[1] != 1 { // not a map whose first key is the Message's Kind
		return OtherTraffic
	}
	switch membership.MessageKind(b[2]) {
	case membership.RenewLease, membership.LeaseRenewed:
		return Leases
	}
	return Consensus
}

// readItem reads a CBOR number or text. It returns the number or the text's length, and the rest of the
// bytes, which is nil if the item is truncated or of another type.
func readItem(b []byte) (value uint64, rest []byte) {
	if len(b) == 0 {
		return 0, nil
	}
	major, short := b[0]>>5, b[0]&31
	b = b[1:]
	switch {
	case short < 24:
		value = uint64(short)
	case short <= 27:
		width := 1 << (short - 24)
		if len(b) < width {
			return 0, nil
		}
		for _, x := range b[:width] {
			value = value<<8 | uint64(x)
		}
		b = b[width:]
	default:
		return 0, nil
	}
	if major >= 2 {
		if uint64(len(b)) < value {
			return 0, nil
		}
		b = b[value:]
	}
	return value, b
}
