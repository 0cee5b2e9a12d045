package gossip

import (
	"errors"
	"math"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"capersail/internal/fleet/membership"
)

// envelopeKind says what the body of an envelope is.
type envelopeKind uint8

const (
	kindStatus     envelopeKind = 1
	kindMessage    envelopeKind = 2
	kindReadings   envelopeKind = 3 // load reports of servers; an older version counts it as unknown
	kindPlacements envelopeKind = 4 // what relays have placed on servers; the same
)

// envelope is what goes over the wire. A status's Seq is the status's own, so that whoever passes it on
// changes nothing; a message's rises with each, so that one that comes twice is known.
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
	// maxEnvelopeBytes bounds an envelope that is taken in.
	maxEnvelopeBytes = 1 << 18
	maxNameBytes     = 128
)

var (
	errOversized     = errors.New("oversized envelope")
	errNoEnvelope    = errors.New("no envelope")
	errBadHeadFields = errors.New("malformed envelope")
)

func encodeEnvelope(from string, incarnation, seq uint64, kind envelopeKind, body any) ([]byte, error) {
	text, err := cbor.Marshal(body)
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(envelope{
		Version:     envelopeVersion,
		From:        from,
		Incarnation: incarnation,
		Seq:         seq,
		Kind:        kind,
		Body:        text,
	})
}

// decodeEnvelope reads an envelope. A later version may hold more, after these fields; what it changes has to
// be another kind.
func decodeEnvelope(text []byte) (e envelope, err error) {
	if len(text) > maxEnvelopeBytes {
		return e, errOversized
	}
	if err := cbor.Unmarshal(text, &e); err != nil {
		return e, errNoEnvelope
	}
	if e.Version < 1 || !ValidRelayName(e.From) || e.Incarnation == 0 {
		return e, errBadHeadFields
	}
	return e, nil
}

// olderThan tells whether another envelope of the same relay is newer.
func (e envelope) olderThan(other envelope) bool {
	return e.Incarnation < other.Incarnation || e.Incarnation == other.Incarnation && e.Seq < other.Seq
}

// ValidRelayName tells whether a relay may have the name: 1 to 128 bytes that print.
func ValidRelayName(name string) bool {
	unprintable := func(r rune) bool { return r < ' ' || r == 0x7f || r == 0xfffd }
	return name != "" && len(name) <= maxNameBytes && !strings.ContainsFunc(name, unprintable)
}

const (
	maxValidRate  = 1e9     // requests a second
	maxValidSlots = 1 << 20 // of a fleet
)

// validStatus tells whether a status could be true.
func validStatus(s membership.Status) bool {
	rateValid := s.RequestRate >= 0 && !math.IsNaN(s.RequestRate) && s.RequestRate < maxValidRate
	drainValid := s.DrainRate >= 0 && s.DrainRate < maxValidRate
	slotValid := s.BootstrapSize >= 1 && s.BootstrapSize <= maxValidSlots && s.BootstrapSlot < s.BootstrapSize
	return s.Version >= 1 && rateValid && drainValid && slotValid &&
		s.OpenConnections >= 0 && len(s.Zone) <= maxNameBytes
}

// validMessage tells whether a message could have been sent by a membership.Node.
func validMessage(m membership.Message) bool {
	if math.IsNaN(m.SentAtMillis) || math.IsInf(m.SentAtMillis, 0) || len(m.Unavailable) > maxPeers || len(m.Joining) > maxPeers {
		return false
	}
	if m.View == nil {
		return m.Kind != membership.Learn && m.Kind != membership.Accept
	}
	return m.View.Check() == nil
}
