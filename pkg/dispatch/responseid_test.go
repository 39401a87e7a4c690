package dispatch

import (
	"testing"

	"corianderwood.example/corianderwood/pkg/call"
	"corianderwood.example/corianderwood/pkg/event"
	"corianderwood.example/corianderwood/pkg/reason"
)

// Guards against a response to another request that is passed on to the caller, wherever on the
// way the two were mixed up.
func TestResponseToAnotherRequest(t *testing.T) {
	d := &Dispatcher{opts: Options{Headers: call.Headers{RequestID: "X-Id"}, Metrics: NewMetrics(nil)}, log: event.NewLimitedLog(1, 1)}
	for head, own := range map[string]bool{
		"X-Id: r\r\n":                   true,
		"A: b\r\nx-id:r\r\n":            true,
		"":                              true,
		"A: X-Id: other\r\n":            true,
		"X-Id: other\r\n":               false,
		"A: b\r\nX-Id: r.1\r\nB: c\r\n": false,
		"X-Id: \r\n":                    false,
	} {
		x := &exchange{dispatcher: d, req: call.Request{ID: "r"}}
		res := x.ownResponse(call.Response{Status: 200, Ran: reason.RanYes, Head: []byte(head), Body: []byte("b")})
		if own != (res.Status == 200) {
			t.Errorf("headers %q: status %d", head, res.Status)
		}
		if !own && (res.Ran != reason.RanUnknown || res.Answered() || res.Body != nil || !res.ReachedServer) {
			t.Errorf("headers %q: %+v", head, res)
		}
	}
}
