package platform

import "errors"

// Kinds of platform errors, matched with errors.Is.
var (
	// ErrConflict means that a condition of a transaction did not hold. Nothing was
	// written.
	ErrConflict = errors.New("platform: write condition does not hold; read the row again and retry based on its current value")
	// ErrUnavailable means that the platform did not execute a write, or that a read got
	// no usable response. Nothing was written. It also covers invalid requests.
	ErrUnavailable = errors.New("platform: unavailable; try again later")
	// ErrUnknownOutcome means that the write may have been applied. The caller must
	// read the row to find out.
	ErrUnknownOutcome = errors.New("platform: outcome of the write is unknown; read the operation record")
	// ErrUnreadable means that a response was cut or is malformed. It comes with ErrUnavailable.
	ErrUnreadable = errors.New("platform: response can't be read; check the platform and what forwards its responses")
	// ErrNotFound means that there is no such object.
	ErrNotFound = errors.New("platform: object not found")
	// ErrTooLarge means that the object has more bytes than the caller accepts.
	ErrTooLarge = errors.New("platform: object too large")
)
