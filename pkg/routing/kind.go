package routing

// Kind classifies requests by whether they may run more than once.
type Kind uint8

// Kinds of requests.
const (
	// Safe requests are idempotent.
	Safe Kind = iota
	// Unsafe requests are not idempotent: they run at most once per client attempt.
	Unsafe
	// Download requests are idempotent and have large responses.
	Download
	// Upload requests have large bodies and are not idempotent.
	Upload
)

// Idempotent reports whether a request of this kind may run more than once.
func (k Kind) Idempotent() bool { return k != Unsafe && k != Upload }

// String returns the name of the kind in logs and metrics.
func (k Kind) String() string {
	switch k {
	case Safe:
		return "safe"
	case Download:
		return "download"
	case Upload:
		return "upload"
	default:
		return "unsafe"
	}
}
