package gossip

import (
	"errors"
	"hash/fnv"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/memberlist"
)

// The envelope kinds that only a fleet divided into cells uses. Versions of the program without support for
// cells drop such an envelope and count it as unknown.
const (
	// kindSummary is a summary of another cell. It comes from that cell's representative, or from a relay of
	// this cell that forwards it.
	kindSummary envelopeKind = 5
	// kindDirectory is the directory of all cells that a cell's representative sends to the relays of its own
	// cell.
	kindDirectory envelopeKind = 6
	// kindCellScoped wraps the kind and the body of an envelope that is for the relays of one cell only.
	kindCellScoped envelopeKind = 64
)

// cellHash identifies the cell that an envelope belongs to; 0 stands for a flat fleet. NotifyAlive and
// NotifyMerge keep relays of different cells out of each other's memberlist already, by the cell's name; the
// hash rejects envelopes that arrive late or at the wrong address.
type cellHash uint32

func hashCellName(cell string) cellHash {
	if cell == "" {
		return 0
	}
	h := fnv.New32a()
	h.Write([]byte(cell))
	return max(cellHash(h.Sum32()), 1)
}

// cellScopedBody is the body of a kindCellScoped envelope.
type cellScopedBody struct {
	_        struct{} `cbor:",toarray"`
	CellHash cellHash
	Kind     envelopeKind
	Body     cbor.RawMessage
}

// encodeForCell encodes an envelope for the relays of this relay's cell. In a flat fleet its result is that
// of encodeEnvelope.
func (n *Node) encodeForCell(incarnation, seq uint64, kind envelopeKind, body any) ([]byte, error) {
	if n.cellHash == 0 {
		return encodeEnvelope(n.cfg.Name, incarnation, seq, kind, body)
	}
	data, err := cbor.Marshal(body)
	if err != nil {
		return nil, err
	}
	inner := cellScopedBody{CellHash: n.cellHash, Kind: kind, Body: data}
	return encodeEnvelope(n.cfg.Name, incarnation, seq, kindCellScoped, inner)
}

var (
	errOtherCell = errors.New("relay belongs to another cell")
	errCellBody  = errors.New("malformed body of a cell-scoped envelope")
)

// unwrapCellEnvelope replaces the kind and body of a kindCellScoped envelope by those that it wraps.
// Envelopes of other kinds are returned unchanged in a flat fleet; in a cell only summaries are, as all
// others have to be cell-scoped. The error is errOtherCell for an envelope of another cell or of a flat
// fleet, and errCellBody for a malformed one.
func (n *Node) unwrapCellEnvelope(e envelope) (envelope, error) {
	if e.Kind != kindCellScoped {
		if n.cellHash != 0 && e.Kind != kindSummary {
			return e, errOtherCell
		}
		return e, nil
	}
	var c cellScopedBody
	if err := cbor.Unmarshal(e.Body, &c); err != nil || c.Kind == kindCellScoped {
		return e, errCellBody
	}
	if c.CellHash != n.cellHash {
		return e, errOtherCell
	}
	e.Kind, e.Body = c.Kind, c.Body
	return e, nil
}

// unwrapErrorDropReason maps an error of unwrapCellEnvelope to the reason under which the drop is counted.
func unwrapErrorDropReason(err error) dropReason {
	if errors.Is(err, errOtherCell) {
		return dropForeign
	}
	return dropMalformed
}

// inSameCell reports whether a relay's metadata names this relay's cell.
func (n *Node) inSameCell(m *memberlist.Node) bool { return string(m.Meta) == n.wireCell }

// NotifyMerge implements memberlist.MergeDelegate. It refuses the merge with a remote memberlist if any of
// its relays belongs to another cell, so that cells are never merged.
func (d *delegate) NotifyMerge(peers []*memberlist.Node) error {
	for _, m := range peers {
		if !(*Node)(d).inSameCell(m) {
			d.dropped.count(dropForeign, m.Name+": "+errOtherCell.Error())
			return errOtherCell
		}
	}
	return nil
}
