package contain

import (
	"fmt"
	"runtime/debug"

	"github.com/prometheus/client_golang/prometheus"

	"corianderwood.example/corianderwood/pkg/event"
)

// panics counts the contained panics of the process, by place.
var panics = prometheus.NewCounterVec(prometheus.CounterOpts{
	Name: "corianderwood_panics_total", Help: "Panics that ended only the request, connection or row named by the place.",
}, []string{"place"})

// Collector returns the metric of the contained panics, to be registered once by each node.
func Collector() prometheus.Collector { return panics }

// PanicError is the cause of an end by a panic.
type PanicError struct {
	Place Place
	Value any
}

func (e *PanicError) Error() string {
	return fmt.Sprintf("internal error in a %s: %v; please report it with the stack in the log", e.Place, e.Value)
}

// Recover must be deferred directly. If the surrounding function panics, Recover logs and
// counts the panic and calls ended, which must answer or release whoever waits.
func Recover(place Place, ended func(error)) {
	value := recover()
	if value == nil {
		return
	}
	err := &PanicError{Place: place, Value: value}
	panics.WithLabelValues(string(place)).Inc()
	event.PanicContained.LogError(err, "place", string(place), "stack", string(debug.Stack()))
	ended(err)
}
