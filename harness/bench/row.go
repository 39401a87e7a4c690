package bench

import (
	"fmt"
	"math"
)

// Row is one measured figure.
type Row struct {
	Name  string
	Value float64
	Unit  string
	// Min and Max are the bounds that the value must keep; NaN means no bound.
	Min, Max float64
}

// Unbounded returns a row without bounds, which is printed without pass or fail.
func Unbounded(name string, value float64, unit string) Row {
	return Row{Name: name, Value: value, Unit: unit, Min: math.NaN(), Max: math.NaN()}
}

// AtMost returns a row that passes if value is at most limit.
func AtMost(name string, value float64, unit string, limit float64) Row {
	return Row{Name: name, Value: value, Unit: unit, Min: math.NaN(), Max: limit}
}

// AtLeast returns a row that passes if value is at least limit.
func AtLeast(name string, value float64, unit string, limit float64) Row {
	return Row{Name: name, Value: value, Unit: unit, Min: limit, Max: math.NaN()}
}

// Pass reports whether the value is within the bounds. NaN never passes.
func (r Row) Pass() bool {
	if math.IsNaN(r.Value) {
		return false
	}
	return !(r.Value < r.Min) && !(r.Value > r.Max)
}

// String formats the row as `name value unit target pass|fail`, with - as the target and
// the verdict of a row without bounds.
func (r Row) String() string {
	target, verdict := "-", "-"
	if !math.IsNaN(r.Min) {
		target = fmt.Sprintf(">=%g", r.Min)
	}
	if !math.IsNaN(r.Max) {
		target = fmt.Sprintf("<=%g", r.Max)
	}
	if target != "-" {
		verdict = "fail"
		if r.Pass() {
			verdict = "pass"
		}
	}
	return fmt.Sprintf("%s %.6g %s %s %s", r.Name, r.Value, r.Unit, target, verdict)
}
