package scale

import (
	"encoding/binary"
	"fmt"
	"sync/atomic"
)

// TrafficKind is the purpose of a message or of a part of a packet.
type TrafficKind int

// The kinds of traffic. Framing is labels, checksums and the lengths of messages that share a packet.
const (
	Probes          TrafficKind = iota // memberlist's pings and their answers
	Liveness                           // which relays are alive, suspected or dead
	Statuses                           // relays' own statuses
	Leases                             // lease renewals
	Consensus                          // ballots and views
	LoadReports                        // load reports of servers
	Placements                         // connections placed on servers
	CellSummaries                      // summaries that cells exchange
	CellDirectories                    // directories of all cells, from a representative to its own cell
	Framing
	PushPull // streams with the whole state, both ways
	Views    // streams with views that are too large for a packet
	OtherTraffic
	trafficKindCount
)

// trafficKindNames are the names in the pages of measurements.
var trafficKindNames = [trafficKindCount]string{
	Probes:          "probes",
	Liveness:        "liveness",
	Statuses:        "statuses",
	Leases:          "leases",
	Consensus:       "choices",
	LoadReports:     "readings",
	Placements:      "placements",
	CellSummaries:   "summaries",
	CellDirectories: "directories",
	Framing:         "framing",
	PushPull:        "push-pull (streams)",
	Views:           "views (streams)",
	OtherTraffic:    "others",
}

func (k TrafficKind) String() string {
	if k < 0 || k >= trafficKindCount {
		return fmt.Sprintf("kind %d", int(k))
	}
	return trafficKindNames[k]
}

// Traffic is the messages and bytes sent, by kind.
type Traffic [trafficKindCount]struct{ Messages, Bytes uint64 }

// since returns the traffic after an earlier Traffic.
func (t Traffic) since(before Traffic) Traffic {
	for k := range t {
		t[k].Messages -= before[k].Messages
		t[k].Bytes -= before[k].Bytes
	}
	return t
}

// trafficCounter counts sent traffic by kind. It is safe for concurrent use.
type trafficCounter [trafficKindCount]struct{ messages, bytes atomic.Uint64 }

func (t *trafficCounter) add(k TrafficKind, bytes int) {
	t[k].messages.Add(1)
	t[k].bytes.Add(uint64(bytes))
}

func (t *trafficCounter) snapshot() (out Traffic) {
	for k := range t {
		out[k].Messages = t[k].messages.Load()
		out[k].Bytes = t[k].bytes.Load()
	}
	return out
}

// Message types of memberlist, and the length of its checksum.
const (
	typePing         = 0
	typeIndirectPing = 1
	typeAck          = 2
	typeSuspect      = 3
	typeDead         = 5
	typePushPull     = 6
	typeCompound     = 7
	typeUser         = 8
	typeNack         = 11
	typeChecksum     = 12
	typeLabel        = 244
	checksumLength   = 5
)

// countPacket counts the messages of a packet. An encrypted packet counts as OtherTraffic.
func (t *trafficCounter) countPacket(_ string, b []byte) {
	size := len(b)
	if len(b) > 2 && b[0] == typeLabel {
		b = b[min(2+int(b[1]), len(b)):]
	}
	if len(b) > checksumLength && b[0] == typeChecksum {
		b = b[checksumLength:]
	}
	if len(b) < 2 || b[0] != typeCompound {
		t.countMessage(b)
		t[Framing].bytes.Add(uint64(size - len(b)))
		return
	}
	parts, counted := int(b[1]), 0
	lengths := b[2:]
	if len(lengths) < 2*parts {
		t.add(OtherTraffic, size)
		return
	}
	rest := lengths[2*parts:]
	for i := range parts {
		length := min(int(binary.BigEndian.Uint16(lengths[2*i:])), len(rest))
		t.countMessage(rest[:length])
		rest = rest[length:]
		counted += length
	}
	t[Framing].bytes.Add(uint64(size - counted))
}

// countMessage counts one memberlist message.
func (t *trafficCounter) countMessage(b []byte) {
	if len(b) == 0 {
		return
	}
	switch b[0] {
	case typePing, typeIndirectPing, typeAck, typeNack:
		t.add(Probes, len(b))
	case typeUser:
		t.add(envelopeKind(b[1:]), len(b))
	default:
		if b[0] >= typeSuspect && b[0] <= typeDead {
			t.add(Liveness, len(b))
		} else {
			t.add(OtherTraffic, len(b))
		}
	}
}

// countStream counts a write to a stream.
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
