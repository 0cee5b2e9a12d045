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
	// maxReadingsPerPacket bounds a packet of readings: up to 45 bytes each, and the names of their origins.
	maxReadingsPerPacket = 20
	// maxReadingsReceived and maxPlacementsReceived bound what is taken in of one packet, of a later version
	// too.
	maxReadingsReceived   = 4 * maxReadingsPerPacket
	maxPlacementsReceived = 2 * probing.MaxPlacementsPerRound
)

// errMalformedBatch is a packet of readings or placements that no relay sends.
var errMalformedBatch = errors.New("malformed readings or placements")

// wireBatch is a packet of rows. Their origins are named once, and rows point at them.
type wireBatch[Row any] struct {
	_     struct{} `cbor:",toarray"`
	Names []string
	Rows  []Row
}

// wireReading is one reading: times in whole ms, figures in thousandths, negative for one that did not come.
type wireReading struct {
	_                            struct{} `cbor:",toarray"`
	ServerKey                    uint64
	Started                      int64
	Origin                       int // index of its name
	Incarnation                  uint64
	ReadAt                       int64
	Age                          int64
	Load, InFlight, Errors, Busy int64
}

// wirePlacement is one row of placements, its age in whole ms.
type wirePlacement struct {
	_           struct{} `cbor:",toarray"`
	ServerKey   uint64
	Origin      int // index of its name
	Incarnation uint64
	Seq         uint64
	Delta       int
	Age         int64
}

// decodeBatch is what an envelope of readings or placements says. The error is errMalformedBatch.
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

// encodeRows makes a packet of what it is given, a row each.
func encodeRows[Item, Row any](items []Item, encode func(Item, *nameTable) Row) (w wireBatch[Row]) {
	var names nameTable
	for _, item := range items {
		w.Rows = append(w.Rows, encode(item, &names))
	}
	w.Names = names.list
	return w
}

// decodeRows reads a packet of at most so many rows. One bad row makes the packet malformed.
func decodeRows[Row, Item any](
	body []byte, most int, decode func(row Row, names []string) (Item, error),
) (items []Item, err error) {
	var w wireBatch[Row]
	if err := cbor.Unmarshal(body, &w); err != nil || len(w.Rows) > most {
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

// nameTable gives each name a number, in the order of first mention.
type nameTable struct {
	list    []string
	numbers map[string]int
}

func (t *nameTable) index(name string) int {
	number, known := t.numbers[name]
	if known {
		return number
	}
	if t.numbers == nil {
		t.numbers = map[string]int{}
	}
	number = len(t.list)
	t.numbers[name] = number
	t.list = append(t.list, name)
	return number
}

// originName is the name that a number in a packet stands for.
func originName(names []string, number int) (string, error) {
	if number < 0 || number >= len(names) || !ValidRelayName(names[number]) {
		return "", errMalformedBatch
	}
	return names[number], nil
}

// toThousandths is a figure in thousandths, -1 for none.
func toThousandths(x float64) int64 {
	if x < 0 || math.IsNaN(x) {
		return -1
	}
	return int64(math.Round(min(x, 1e9) * 1000))
}

// fromThousandths is the way back, -1 for none.
func fromThousandths(x int64) float64 {
	if x < 0 {
		return -1
	}
	return float64(x) / 1000
}
