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
	// maxReadingsPerPacket bounds the readings in one packet: each takes up to 45 bytes, and the names of
	// their origins are added.
	maxReadingsPerPacket = 20
	// maxReadingsReceived and maxPlacementsReceived bound the rows that are accepted in one packet, also from
	// later versions, which may send more than this one does.
	maxReadingsReceived   = 4 * maxReadingsPerPacket
	maxPlacementsReceived = 2 * probing.MaxPlacementsPerRound
)

// errMalformedBatch is the error for readings or placements that no relay can have sent.
var errMalformedBatch = errors.New("malformed batch of readings or placements")

// wireBatch is the wire format of a batch of rows. Each origin's name is listed once, and rows refer to it by
// its index.
type wireBatch[Row any] struct {
	_     struct{} `cbor:",toarray"`
	Names []string
	Rows  []Row
}

// wireReading is the wire format of a reading. Times are in milliseconds, and the figures of the load report
// in thousandths; a negative figure is missing from the load report.
type wireReading struct {
	_                            struct{} `cbor:",toarray"`
	ServerKey                    uint64
	Started                      int64
	Origin                       int // index into wireBatch.Names
	Incarnation                  uint64
	ReadAt                       int64
	Age                          int64
	Load, InFlight, Errors, Busy int64
}

// wirePlacement is the wire format of a probing.PlacementDelta, with its age in milliseconds.
type wirePlacement struct {
	_           struct{} `cbor:",toarray"`
	ServerKey   uint64
	Origin      int // index into wireBatch.Names
	Incarnation uint64
	Seq         uint64
	Delta       int
	Age         int64
}

// decodeBatch decodes an envelope of readings or placements. Its only error is errMalformedBatch.
func decodeBatch(e envelope) (probing.Event, error) {
	if e.Kind == kindPlacements {
		rows, err := decodePlacements(e.Body)
		return probing.PlacementsReceived{From: e.From, Deltas: rows}, err
	}
	readings, err := decodeReadings(e.Body)
	return probing.ReadingsReceived{From: e.From, Readings: readings}, err
}

func encodeReadings(readings []probing.Reading) wireBatch[wireReading] {
	return encodeRows(readings, func(r probing.Reading, names *nameTable) wireReading {
		return wireReading{
			ServerKey:   r.ServerKey,
			Started:     r.Started,
			Origin:      names.index(r.Origin),
			Incarnation: r.Incarnation,
			ReadAt:      int64(r.ReadAt / time.Millisecond),
			Age:         int64(r.Age / time.Millisecond),
			Load:        toThousandths(r.LoadReport.Load),
			InFlight:    toThousandths(r.InFlight),
			Errors:      toThousandths(r.ErrorsPerSecond),
			Busy:        toThousandths(r.CPUUtilization),
		}
	})
}

func decodeReadings(body []byte) ([]probing.Reading, error) {
	decode := func(r wireReading, names []string) (probing.Reading, error) {
		origin, err := originName(names, r.Origin)
		if err != nil || r.Age < 0 {
			return probing.Reading{}, errMalformedBatch
		}
		return probing.Reading{
			ServerKey:   r.ServerKey,
			Started:     r.Started,
			Origin:      origin,
			Incarnation: r.Incarnation,
			ReadAt:      duration.FromMillis(float64(r.ReadAt)),
			Age:         duration.FromMillis(float64(r.Age)),
			LoadReport: probing.LoadReport{
				Load:            fromThousandths(r.Load),
				InFlight:        fromThousandths(r.InFlight),
				ErrorsPerSecond: fromThousandths(r.Errors),
				CPUUtilization:  fromThousandths(r.Busy),
			},
		}, nil
	}
	return decodeRows(body, maxReadingsReceived, decode)
}

func encodePlacements(rows []probing.PlacementDelta) wireBatch[wirePlacement] {
	return encodeRows(rows, func(r probing.PlacementDelta, names *nameTable) wirePlacement {
		return wirePlacement{
			ServerKey:   r.ServerKey,
			Origin:      names.index(r.Origin),
			Incarnation: r.Incarnation,
			Seq:         r.Seq,
			Delta:       r.Delta,
			Age:         int64(r.Age / time.Millisecond),
		}
	})
}

func decodePlacements(body []byte) ([]probing.PlacementDelta, error) {
	decode := func(r wirePlacement, names []string) (probing.PlacementDelta, error) {
		origin, err := originName(names, r.Origin)
		return probing.PlacementDelta{
			ServerKey:   r.ServerKey,
			Origin:      origin,
			Incarnation: r.Incarnation,
			Seq:         r.Seq,
			Delta:       r.Delta,
			Age:         duration.FromMillis(float64(r.Age)),
		}, err
	}
	return decodeRows(body, maxPlacementsReceived, decode)
}

// encodeRows encodes a batch with one row for each item.
func encodeRows[Item, Row any](items []Item, encode func(Item, *nameTable) Row) (w wireBatch[Row]) {
	var names nameTable
	for _, item := range items {
		w.Rows = append(w.Rows, encode(item, &names))
	}
	w.Names = names.list
	return w
}

// decodeRows decodes a batch of up to maxRows rows. One malformed row makes the whole batch malformed.
func decodeRows[Row, Item any](
	body []byte, maxRows int, decode func(row Row, names []string) (Item, error),
) (items []Item, err error) {
	var w wireBatch[Row]
	if err := cbor.Unmarshal(body, &w); err != nil || len(w.Rows) > maxRows {
		return nil, errMalformedBatch
	}
	for _, row := range w.Rows {
		item, err := decode(row, w.Names)
		if err != nil {
			return nil, err
		}
		items = append(items, item)
	}
	return items, nil
}

// nameTable assigns each name an index, in the order of first use.
type nameTable struct {
	list    []string
	indexes map[string]int
}

func (t *nameTable) index(name string) int {
	i, known := t.indexes[name]
	if known {
		return i
	}
	if t.indexes == nil {
		t.indexes = map[string]int{}
	}
	i = len(t.list)
	t.indexes[name] = i
	t.list = append(t.list, name)
	return i
}

// originName returns the origin's name at an index of wireBatch.Names, or errMalformedBatch if there is none.
func originName(names []string, index int) (string, error) {
	if index < 0 || index >= len(names) || !ValidRelayName(names[index]) {
		return "", errMalformedBatch
	}
	return names[index], nil
}

// toThousandths converts a figure to thousandths; -1 stands for a missing figure.
func toThousandths(x float64) int64 {
	if x < 0 || math.IsNaN(x) {
		return -1
	}
	return int64(math.Round(min(x, 1e9) * 1000))
}

// fromThousandths converts thousandths to a figure; -1 stands for a missing figure.
func fromThousandths(x int64) float64 {
	if x < 0 {
		return -1
	}
	return float64(x) / 1000
}
