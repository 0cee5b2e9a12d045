package gossip

import (
	"errors"
	"hash/fnv"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/memberlist"
)

// The kinds of envelopes of a fleet in cells. A program that knows no cells counts them as unknown and goes
// on.
const (
	// kindSummary is another cell's, from its representative; also as a relay of this cell has forwarded it.
	kindSummary envelopeKind = 5
	// kindDirectory is what a cell's representative sends its own cell of all cells.
	kindDirectory envelopeKind = 6
	// kindOfCell holds an envelope's kind and body for relays of one cell only.
	kindOfCell envelopeKind = 64
)

// cellKey tells the envelopes of one cell from those of others; 0 is a flat fleet's. The cells' relays are
// kept apart by their names already, see NotifyAlive; the key keeps out what comes late or astray.
type cellKey uint32

func keyOfCell(cell string) cellKey {
	if cell == "" {
		return 0
	}
	h := fnv.New32a()
	h.Write([]byte(cell))
	return max(cellKey(h.Sum32()), 1)
}

// cellBody is the body of an envelope of kindOfCell.
type cellBody struct {
	_    struct{} `cbor:",toarray"`
	Cell cellKey
	Kind envelopeKind
	Body cbor.RawMessage
}

// encodeForCell makes an envelope for relays of this cell; in a flat fleet that is what encodeEnvelope makes.
func (n *Node) encodeForCell(incarnation, seq uint64, kind envelopeKind, body any) ([]byte, error) {
	if n.key == 0 {
		return encodeEnvelope(n.cfg.Name, incarnation, seq, kind, body)
	}
	text, err := cbor.Marshal(body)
	if err != nil {
		return nil, err
	}
	inner := cellBody{Cell: n.key, Kind: kind, Body: text}
	return encodeEnvelope(n.cfg.Name, incarnation, seq, kindOfCell, inner)
}

var (
	errOtherCell = errors.New("of another cell")
	errCellBody  = errors.New("malformed envelope of a cell")
)

// unwrapCell gives an envelope the kind and body that it holds. It fails for one that is for another cell's
// relays.
func (n *Node) unwrapCell(e envelope) (envelope, error) {
	if e.Kind != kindOfCell {
		if n.key != 0 && e.Kind != kindSummary {
			return e, errOtherCell
		}
		return e, nil
	}
	var c cellBody
	if err := cbor.Unmarshal(e.Body, &c); err != nil || c.Kind == kindOfCell {
		return e, errCellBody
	}
	if c.Cell != n.key {
		return e, errOtherCell
	}
	e.Kind, e.Body = c.Kind, c.Body
	return e, nil
}

// unwrapDropReason is what an envelope that unwrapCell refuses is counted as.
func unwrapDropReason(err error) dropReason {
	if errors.Is(err, errOtherCell) {
		return dropForeign
	}
	return dropMalformed
}

// sameCell tells whether a relay is of this relay's cell, by its metadata.
func (n *Node) sameCell(m *memberlist.Node) bool { return string(m.Meta) == n.cell }

// NotifyMerge is memberlist's, before a relay that joins, or is joined, is merged with: one relay of another
// cell among its own keeps both fleets as they are.
func (d *delegate) NotifyMerge(peers []*memberlist.Node) error {
	for _, m := range peers {
		if !(*Node)(d).sameCell(m) {
			d.dropped.count(dropForeign, m.Name+": "+errOtherCell.Error())
			return errOtherCell
		}
	}
	return nil
}
