package scale

import (
	"encoding/binary"
	"sync/atomic"

	"capersail/internal/fleet/membership"
)

// Kind is what a part of the traffic is for.
type Kind int

// The kinds. Framing is labels, checksums and the lengths of messages that share a packet.
const (
	Probes          Kind = iota // pings, and their answers
	Liveness                    // who is alive, suspected or dead
	Statuses                    // what relays tell of themselves
	Leases                      // renewals of grants
	Consensus                   // ballots and views
	LoadReports                 // of servers
	Placements                  // connections sent to servers
	CellSummaries               // between cells
	CellDirectories             // of all cells, from a cell's speaker to its own
	Framing
	PushPull // streams: all that is known, both ways
	Views    // streams: views too large for a packet
	Others
	kindCount
)

func (k Kind) String() string {
	return [kindCount]string{"probes", "liveness", "statuses", "leases", "choices", "readings", "placements", "summaries", "directories", "framing", "push-pull (streams)", "views (streams)",
		"others"}[k]
}

// Traffic is what went out, by kind.
type Traffic [kindCount]struct{ Messages, Bytes uint64 }

// trafficCounter counts while packets are sent.
type trafficCounter [kindCount]struct{ messages, bytes atomic.Uint64 }

func (t *trafficCounter) add(k Kind, bytes int) {
	t[k].messages.Add(1)
	t[k].bytes.Add(uint64(bytes))
}

func (t *trafficCounter) snapshot() (out Traffic) {
	for k := range t {
		out[k].Messages, out[k].Bytes = t[k].messages.Load(), t[k].bytes.Load()
	}
	return out
}

// memberlist's message types, and where its headers end.
const (
	typePing       = 0
	typeIndirect   = 1
	typeAck        = 2
	typeSuspect    = 3
	typeDead       = 5
	typePushPull   = 6
	typeCompound   = 7
	typeUser       = 8
	typeNack       = 11
	typeChecksum   = 12
	typeLabel      = 244
	checksumLength = 5
)

// countPacket counts a countPacket that is not sealed; a sealed one counts as Others.
func (t *trafficCounter) countPacket(_ string, b []byte) {
	whole := len(b)
	if len(b) > 2 && b[0] == typeLabel {
		b = b[min(2+int(b[1]), len(b)):]
	}
	if len(b) > checksumLength && b[0] == typeChecksum {
		b = b[checksumLength:]
	}
	if len(b) < 2 || b[0] != typeCompound {
		t.countMessage(b)
		t[Framing].bytes.Add(uint64(whole - len(b)))
		return
	}
	parts, counted := int(b[1]), 0
	lengths := b[2:]
	if len(lengths) < 2*parts {
		t.add(Others, whole)
		return
	}
	rest := lengths[2*parts:]
	for i := range parts {
		length := min(int(binary.BigEndian.Uint16(lengths[2*i:])), len(rest))
		t.countMessage(rest[:length])
		rest = rest[length:]
		counted += length
	}
	t[Framing].bytes.Add(uint64(whole - counted))
}

func (t *trafficCounter) countMessage(b []byte) {
	if len(b) == 0 {
		return
	}
	switch b[0] {
	case typePing, typeIndirect, typeAck, typeNack:
		t.add(Probes, len(b))
	case typeUser:
		t.add(envelopeKind(b[1:]), len(b))
	default:
		if b[0] >= typeSuspect && b[0] <= typeDead {
			t.add(Liveness, len(b))
		} else {
			t.add(Others, len(b))
		}
	}
}

// countStream counts what is written to a countStream.
func (t *trafficCounter) countStream(_ string, opening []byte, written int) {
	switch {
	case len(opening) == 0:
		t[Framing].bytes.Add(uint64(written))
	case opening[0] == typePushPull:
		t.add(PushPull, written)
	case opening[0] == typeUser:
		t.add(Views, written)
	default:
		t.add(Probes, written)
	}
}

// The kinds of gossip's envelopes, as they are on the wire.
const (
	envelopeStatus    = 1
	envelopeMessage   = 2
	envelopeReadings  = 3
	envelopePlaced    = 4
	envelopeSummary   = 5
	envelopeDirectory = 6
	envelopeOfCell    = 64 // holds a kind and a body for one cell
	envelopeItems     = 6  // Version, From, Incarnation, Seq, Kind, Body
	ofCellItems       = 3  // Cell, Kind, Body
)

// envelopeKind reads just so much of an envelope as tells its kind.
func envelopeKind(b []byte) Kind {
	if len(b) == 0 || b[0] != 0x80|envelopeItems {
		return Others
	}
	b = b[1:]
	var value uint64
	for range envelopeItems - 1 {
		if value, b = readItem(b); b == nil {
			return Others
		}
	}
	if value == envelopeOfCell && len(b) > 0 && b[0] == 0x80|ofCellItems {
		b = b[1:]
		for range ofCellItems - 1 {
			if value, b = readItem(b); b == nil {
				return Others
			}
		}
	}
	switch value {
	case envelopeStatus:
		return Statuses
	case envelopeReadings:
		return LoadReports
	case envelopePlaced:
		return Placements
	case envelopeSummary:
		return CellSummaries
	case envelopeDirectory:
		return CellDirectories
	case envelopeMessage:
	default:
		return Others
	}
	if len(b) < 3 || b[0]>>5 != 5 || b[1] != 1 { // a map whose first key is the Message's Kind
		return Others
	}
	switch membership.Kind(b[2]) {
	case membership.Renew, membership.Renewed:
		return Leases
	}
	return Consensus
}

// readItem reads a number or a text in CBOR, and returns the number or the text's length, and the rest.
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
