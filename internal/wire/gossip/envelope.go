package gossip

import (
	"errors"
	"math"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"capersail/internal/fleet/membership"
)

// envelopeKind says what an envelope holds.
type envelopeKind uint8

const (
	kindStatus     envelopeKind = 1
	kindMessage    envelopeKind = 2
	kindReadings   envelopeKind = 3 // readings of servers; an older version counts it as unknown
	kindPlacements envelopeKind = 4 // what relays have sent to servers; the same
)

// envelope is what goes over the wire. A status's Seq is the status's own, so that whoever passes it on changes
// nothing; a message's rises with each, so that one that comes twice is told.
type envelope struct {
	_           struct{} `cbor:",toarray"`
	Version     uint8
	From        string
	Incarnation uint64
	Seq         uint64
	Kind        envelopeKind
	Body        cbor.RawMessage
}

const (
	envelopeVersion = 1
	maxNameBytes    = 128
)

func encodeEnvelope(from string, incarnation, seq uint64, k envelopeKind, body any) ([]byte, error) {
	text, err := cbor.Marshal(body)
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(envelope{Version: envelopeVersion, From: from, Incarnation: incarnation, Seq: seq, Kind: k, Body: text})
}

// decodeEnvelope reads an envelope. A later version may hold more, after these fields; what it changes has to be another kind.
func decodeEnvelope(text []byte) (e envelope, err error) {
	if len(text) > maxEnvelopeBytes {
		return e, errors.New("oversized")
	}
	if err := cbor.Unmarshal(text, &e); err != nil {
		return e, errors.New("no envelope")
	}
	if e.Version < 1 || !ValidName(e.From) || e.Incarnation == 0 {
		return e, errors.New("an envelope that makes no sense")
	}
	return e, nil
}

// ValidName tells whether a relay may have the name.
func ValidName(s string) bool {
	return s != "" && len(s) <= maxNameBytes && !strings.ContainsFunc(s, func(r rune) bool { return r < ' ' || r == 0x7f || r == 0xfffd })
}

// validStatus tells whether a status could be true.
func validStatus(d membership.Status) bool {
	return d.Version >= 1 && d.RequestRate >= 0 && !math.IsNaN(d.RequestRate) && d.RequestRate < 1e9 && d.OpenConnections >= 0 && d.DrainRate >= 0 && d.DrainRate < 1e9 && d.BootstrapSize >= 1 && d.BootstrapSize <= 1<<20 &&
		d.BootstrapSlot < d.BootstrapSize && len(d.Zone) <= maxNameBytes
}

// validMessage tells whether a message could have been sent by a membership.Node.
func validMessage(m membership.Message) bool {
	if math.IsNaN(m.SentAtMillis) || math.IsInf(m.SentAtMillis, 0) || len(m.Unavailable) > maxPeers {
		return false
	}
	v := m.View
	if v == nil {
		return m.Kind != membership.Learn && m.Kind != membership.Accept
	}
	return v.Check() == nil
}
