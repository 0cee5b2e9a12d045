package gossip

import (
	"errors"
	"math"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"capersail/internal/fleet/membership"
)

// envelopeKind identifies the type of an envelope's body.
type envelopeKind uint8

const (
	kindStatus     envelopeKind = 1
	kindMessage    envelopeKind = 2
	kindReadings   envelopeKind = 3 // load reports of servers; older versions count it as unknown
	kindPlacements envelopeKind = 4 // placements of relays on servers; older versions count it as unknown
)

// envelope is the wire format of all gossip between relays. The Seq of a status envelope is that of the
// status itself, so that peers can forward the envelope unchanged. For other kinds it rises with each
// envelope, so that the receiver can detect duplicates.
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
	// maxEnvelopeBytes is the largest envelope that is accepted.
	maxEnvelopeBytes = 1 << 18
	maxNameBytes     = 128
)

var (
	errOversizedEnvelope = errors.New("envelope larger than 256 KiB")
	errNotEnvelope       = errors.New("message is not a CBOR-encoded envelope")
	errInvalidHeader     = errors.New("envelope without a valid version, sender or incarnation")
)

func encodeEnvelope(from string, incarnation, seq uint64, kind envelopeKind, body any) ([]byte, error) {
	data, err := cbor.Marshal(body)
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(envelope{
		Version:     envelopeVersion,
		From:        from,
		Incarnation: incarnation,
		Seq:         seq,
		Kind:        kind,
		Body:        data,
	})
}

// decodeEnvelope decodes an envelope and checks its header. A later version of the format may append fields;
// any other change needs a new envelopeKind.
func decodeEnvelope(data []byte) (e envelope, err error) {
	if len(data) > maxEnvelopeBytes {
		return e, errOversizedEnvelope
	}
	if err := cbor.Unmarshal(data, &e); err != nil {
		return e, errNotEnvelope
	}
	if e.Version < 1 || !ValidRelayName(e.From) || e.Incarnation == 0 {
		return e, errInvalidHeader
	}
	return e, nil
}

// olderThan reports whether the other envelope of the same relay is newer.
func (e envelope) olderThan(other envelope) bool {
	return e.Incarnation < other.Incarnation || e.Incarnation == other.Incarnation && e.Seq < other.Seq
}

// ValidRelayName reports whether a relay may have the name: 1 to 128 bytes of UTF-8 without control
// characters.
func ValidRelayName(name string) bool {
	unprintable := func(r rune) bool { return r < ' ' || r == 0x7f || r == 0xfffd }
	return name != "" && len(name) <= maxNameBytes && !strings.ContainsFunc(name, unprintable)
}

const (
	maxStatusRate = 1e9     // requests or connections a second
	maxSlots      = 1 << 20 // bootstrap slots of a fleet
)

// validStatus reports whether the values of a status are possible.
func validStatus(s membership.Status) bool {
	rateValid := s.RequestRate >= 0 && !math.IsNaN(s.RequestRate) && s.RequestRate < maxStatusRate
	drainValid := s.DrainRate >= 0 && s.DrainRate < maxStatusRate
	slotValid := s.BootstrapSize >= 1 && s.BootstrapSize <= maxSlots && s.BootstrapSlot < s.BootstrapSize
	return s.Version >= 1 && rateValid && drainValid && slotValid &&
		s.OpenConnections >= 0 && len(s.Zone) <= maxNameBytes
}

// validMessage reports whether a membership.Node can have sent the message.
func validMessage(m membership.Message) bool {
	if math.IsNaN(m.SentAtMillis) || math.IsInf(m.SentAtMillis, 0) ||
		len(m.Unavailable) > maxPeers || len(m.Joining) > maxPeers {
		return false
	}
	if m.View == nil {
		return m.Kind != membership.Learn && m.Kind != membership.Accept
	}
	return m.View.Check() == nil
}
