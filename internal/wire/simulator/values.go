package simulator

import (
	"fmt"
	"math"

	"github.com/valyala/fastjson"
)

// eventValues reads an event's values by position and remembers the first that is not what it should be.
type eventValues struct {
	values []*fastjson.Value
	err    error
}

func (f *eventValues) at(i int) *fastjson.Value {
	if i >= len(f.values) || f.values[i].Type() == fastjson.TypeNull {
		return nil
	}
	return f.values[i]
}

func (f *eventValues) fail(i int, err error) {
	if f.err == nil {
		f.err = fmt.Errorf("value %d: %w", i, err)
	}
}

func (f *eventValues) float(i int) float64 {
	v := f.at(i)
	if v == nil {
		return 0
	}
	x, err := number(v)
	if err != nil {
		f.fail(i, err)
	}
	return x
}

func (f *eventValues) unsigned(i int) uint64 {
	v := f.at(i)
	if v == nil {
		return 0
	}
	x, err := v.Uint64()
	if err != nil {
		f.fail(i, err)
	}
	return x
}

func (f *eventValues) text(i int) []byte {
	v := f.at(i)
	if v == nil || v.Type() == fastjson.TypeNumber { // an absent tenant may be 0
		return nil
	}
	s, err := v.StringBytes()
	if err != nil {
		f.fail(i, err)
	}
	return s
}

func (f *eventValues) boolean(i int) bool {
	v := f.at(i)
	if v == nil {
		return false
	}
	x, err := v.Bool()
	if err != nil {
		f.fail(i, err)
	}
	return x
}

func (f *eventValues) requiredText(i int) []byte {
	s := f.text(i)
	if len(s) == 0 {
		f.fail(i, fmt.Errorf("a name is missing"))
	}
	return s
}

func number(v *fastjson.Value) (float64, error) {
	if v == nil {
		return 0, fmt.Errorf("a number is missing")
	}
	x, err := v.Float64()
	if err == nil && (math.IsNaN(x) || math.IsInf(x, 0)) {
		err = fmt.Errorf("number out of range")
	}
	return x, err
}
