// Package status defines the document with the status of a sidecar node, which GET /status at its
// metrics address returns and corianderctl sidecar reads. All times are durations in seconds at the
// time of the response, since the clocks of two machines differ. The document contains no keys.
package status
