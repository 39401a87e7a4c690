package proxy

import (
	"encoding/json"
	"fmt"
	"net/http"

	"corianderwood.example/corianderwood/pkg/reason"
)

// refusal says why a node did not return the upstream's response to a call, and whether
// the call ran.
type refusal struct {
	reason  reason.Refusal
	ran     reason.Ran
	message string
	// status, if not 0, overrides the HTTP status that belongs to the reason.
	status int
}

// Error implements the error interface.
func (r refusal) Error() string { return fmt.Sprintf("%s (ran: %s): %s", r.reason, r.ran, r.message) }

func refuse(why reason.Refusal, ran reason.Ran, format string, args ...any) refusal {
	return refusal{reason: why, ran: ran, message: fmt.Sprintf(format, args...)}
}

func statusOf(why reason.Refusal) int {
	switch why {
	case reason.NoRoute:
		return http.StatusNotFound
	case reason.BadRequest:
		return http.StatusBadRequest
	case reason.DepthExceeded:
		return http.StatusLoopDetected
	case reason.QueueDeadline, reason.DeadlineExceeded:
		return http.StatusGatewayTimeout
	case reason.PeerConnect, reason.PeerFailed, reason.UpstreamConnect, reason.UpstreamFailed,
		reason.OutcomeUnknown, reason.ResponseLost, reason.Canceled:
		return http.StatusBadGateway
	default:
		return http.StatusServiceUnavailable
	}
}

// write sends the refusal as the response to a request.
func (r refusal) write(w http.ResponseWriter) {
	h := w.Header()
	setHeader(h, HeaderRefused, string(r.reason))
	setHeader(h, HeaderRan, string(r.ran))
	setHeader(h, "Content-Type", "application/json")
	status := r.status
	if status == 0 {
		status = statusOf(r.reason)
	}
	w.WriteHeader(status)
	body, _ := json.Marshal(map[string]string{
		"refused": string(r.reason), "ran": string(r.ran), "message": r.message})
	_, _ = w.Write(append(body, '\n'))
}
