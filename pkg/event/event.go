// Package event writes numbered log events through klog. The catalogue contains every
// event that the system logs; docs/events.md describes them for operators.
package event

import "k8s.io/klog/v2"

// Severity decides how an event is marked in the log. Info and Warning are written at
// klog's info level, Warning with the additional key severity.
type Severity int

// Severities of events.
const (
	Info Severity = iota
	Warning
	Error
)

// Event is one kind of log entry.
type Event struct {
	// Number identifies the event. A number is never reused with another meaning.
	Number   int
	Severity Severity
	Message  string
}

// Log writes the event. The arguments are alternating keys and values.
func (e Event) Log(keysAndValues ...any) {
	e.log(nil, keysAndValues)
}

// LogError writes the event with its cause. The arguments after err are alternating keys
// and values.
func (e Event) LogError(err error, keysAndValues ...any) {
	e.log(err, keysAndValues)
}

func (e Event) log(err error, keysAndValues []any) {
	const callDepth = 2 // the caller of Log or LogError
	kv := append([]any{"event", e.Number}, keysAndValues...)
	if e.Severity == Error {
		klog.ErrorSDepth(callDepth, err, e.Message, kv...)
		return
	}
	if err != nil {
		kv = append(kv, "err", err)
	}
	if e.Severity == Warning {
		kv = append(kv, "severity", "warning")
	}
	klog.InfoSDepth(callDepth, e.Message, kv...)
}
