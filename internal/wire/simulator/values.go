package simulator

import (
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/valyala/fastjson"

	"capersail/internal/relay"
)

var (
	errNameMissing   = errors.New("required name is missing or empty")
	errNumberMissing = errors.New("required number is missing")
	errNumberRange   = errors.New("number is NaN or infinite")
)

// eventValues reads an event's values by position. A value that is absent or null counts as 0, false or "".
// err is the error of the first value of a wrong type.
type eventValues struct {
	values []*fastjson.Value
	err    error
}

// at returns the value at a position, or nil if it is absent or null.
func (v *eventValues) at(i int) *fastjson.Value {
	if i >= len(v.values) || v.values[i].Type() == fastjson.TypeNull {
		return nil
	}
	return v.values[i]
}

// fail records the error of a value, unless err is nil or an earlier error is recorded.
func (v *eventValues) fail(i int, err error) {
	if err != nil && v.err == nil {
		v.err = fmt.Errorf("value %d: %w", i, err)
	}
}

func (v *eventValues) float(i int) float64 {
	value := v.at(i)
	if value == nil {
		return 0
	}
	x, err := finiteNumber(value)
	v.fail(i, err)
	return x
}

// millis reads a value in milliseconds.
func (v *eventValues) millis(i int) time.Duration { return relay.DurationFromMillis(v.float(i)) }

func (v *eventValues) unsigned(i int) uint64 {
	value := v.at(i)
	if value == nil {
		return 0
	}
	x, err := value.Uint64()
	v.fail(i, err)
	return x
}

func (v *eventValues) boolean(i int) bool {
	value := v.at(i)
	if value == nil {
		return false
	}
	x, err := value.Bool()
	v.fail(i, err)
	return x
}

func (v *eventValues) text(i int) []byte {
	value := v.at(i)
	if value == nil || value.Type() == fastjson.TypeNumber { // an absent tenant may be sent as 0
		return nil
	}
	text, err := value.StringBytes()
	v.fail(i, err)
	return text
}

func (v *eventValues) requiredText(i int) []byte {
	text := v.text(i)
	if len(text) == 0 {
		v.fail(i, errNameMissing)
	}
	return text
}

// finiteNumber reads a number. NaN, infinities and an absent value are errors.
func finiteNumber(value *fastjson.Value) (float64, error) {
	if value == nil {
		return 0, errNumberMissing
	}
	x, err := value.Float64()
	if err == nil && (math.IsNaN(x) || math.IsInf(x, 0)) {
		err = errNumberRange
	}
	return x, err
}
