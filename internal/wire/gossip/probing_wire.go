package gossip

import (
	"errors"
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"

	"capersail/internal/fleet/duration"
	"capersail/internal/fleet/probing"
)

const (
	batchQueueSize       = 64 // batches that wait to be sent; more are dropped, as newer ones follow
	maxReadingsPerPacket = 20 // readings in one packet: up to 45 bytes each, and the names of their origins
)

// wireReadings is a packet of readings. Origins are named once, and readings point at them.
type wireReadings struct {
	_        struct{} `cbor:",toarray"`
	Names    []string
	Readings []wireReading
}

// wireReading is one reading: times in whole ms, figures in thousandths, negative for one that did not come.
type wireReading struct {
	_                            struct{} `cbor:",toarray"`
	ServerKey                    uint64
	Started                      int64
	By                           int
	Incarnation                  uint64
	At                           int64
	Age                          int64
	Load, Inflight, Errors, Busy int64
}

// wirePlacements is a packet of placements.
type wirePlacements struct {
	_     struct{} `cbor:",toarray"`
	Names []string
	Rows  []wirePlacement
}

type wirePlacement struct {
	_           struct{} `cbor:",toarray"`
	ServerKey   uint64
	By          int
	Incarnation uint64
	Seq         uint64
	N           int
	Age         int64
}

// toThousandths is a figure in thousandths, -1 for none.
func toThousandths(x float64) int64 {
	if x < 0 || math.IsNaN(x) {
		return -1
	}
	return int64(math.Round(min(x, 1e9) * 1000))
}

// nameTable gives each name a number.
type nameTable struct {
	list []string
	at   map[string]int
}

func (n *nameTable) index(name string) int {
	by, known := n.at[name]
	if !known {
		by = len(n.list)
		if n.at == nil {
			n.at = map[string]int{}
		}
		n.at[name] = by
		n.list = append(n.list, name)
	}
	return by
}

// originName is the name that a number in a packet stands for.
func originName(list []string, by int) (string, error) {
	if by < 0 || by >= len(list) || !ValidName(list[by]) {
		return "", errMalformedBatch
	}
	return list[by], nil
}

// decodeBatch is what an envelope of readings or placements says.
func decodeBatch(e envelope) (probing.Event, error) {
	if e.Kind == kindPlacements {
		rows, err := decodePlacements(e.Body)
		return probing.PlacementsReceived{From: e.From, Rows: rows}, err
	}
	readings, err := decodeReadings(e.Body)
	return probing.ReadingsReceived{From: e.From, Readings: readings}, err
}

func encodePlacements(rows []probing.PlacementDelta) (w wirePlacements) {
	var all nameTable
	for _, r := range rows {
		w.Rows = append(w.Rows, wirePlacement{ServerKey: r.ServerKey, By: all.index(r.Origin), Incarnation: r.Incarnation, Seq: r.Seq, N: r.Delta, Age: int64(r.Age / time.Millisecond)})
	}
	w.Names = all.list
	return w
}

func decodePlacements(body []byte) (out []probing.PlacementDelta, err error) {
	var w wirePlacements
	if err := cbor.Unmarshal(body, &w); err != nil || len(w.Rows) > 2*probing.MaxPlacementsPerRound {
		return nil, errMalformedBatch
	}
	for _, r := range w.Rows {
		by, err := originName(w.Names, r.By)
		if err != nil {
			return nil, err
		}
		out = append(out, probing.PlacementDelta{ServerKey: r.ServerKey, Origin: by, Incarnation: r.Incarnation, Seq: r.Seq, Delta: r.N, Age: duration.FromMillis(float64(r.Age))})
	}
	return out, nil
}

func encodeReadings(readings []probing.Reading) (w wireReadings) {
	var all nameTable
	for _, r := range readings {
		w.Readings = append(w.Readings, wireReading{ServerKey: r.ServerKey, Started: r.Started, By: all.index(r.Origin), Incarnation: r.Incarnation, At: int64(r.ReadAt / time.Millisecond), Age: int64(r.Age / time.Millisecond),
			Load: toThousandths(r.LoadReport.Load), Inflight: toThousandths(r.Inflight), Errors: toThousandths(r.Errors), Busy: toThousandths(r.Busy)})
	}
	w.Names = all.list
	return w
}

var errMalformedBatch = errors.New("readings that make no sense")

func decodeReadings(body []byte) (out []probing.Reading, err error) {
	var w wireReadings
	if err := cbor.Unmarshal(body, &w); err != nil || len(w.Readings) > 4*maxReadingsPerPacket {
		return nil, errMalformedBatch
	}
	part := func(x int64) float64 {
		if x < 0 {
			return -1
		}
		return float64(x) / 1000
	}
	for _, r := range w.Readings {
		by, err := originName(w.Names, r.By)
		if err != nil || r.Age < 0 {
			return nil, errMalformedBatch
		}
		out = append(out, probing.Reading{ServerKey: r.ServerKey, Started: r.Started, Origin: by, Incarnation: r.Incarnation, ReadAt: duration.FromMillis(float64(r.At)), Age: duration.FromMillis(float64(r.Age)),
			LoadReport: probing.LoadReport{Load: part(r.Load), Inflight: part(r.Inflight), Errors: part(r.Errors), Busy: part(r.Busy)}})
	}
	return out, nil
}
