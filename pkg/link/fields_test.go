package link

import (
	"context"
	"testing"

	"corianderwood.example/corianderwood/pkg/call"
	"corianderwood.example/corianderwood/pkg/reason"
)

// Guards against a response of a peer's server that is passed on although HTTP/1 doesn't allow its fields. A
// peer of an earlier version does not check them.
func TestInvalidFieldsOfPeer(t *testing.T) {
	for head, valid := range map[string]bool{
		"": true, "X-A: 1\r\n": true, "X-A:1\r\nX-B: \r\n": true, "!#$%&'*+-.^_`|~: \x80\t\xff\r\n": true,
		"X A: 1\r\n": false, "X-A : 1\r\n": false, " X-A: 1\r\n": false, "X-A\x01: 1\r\n": false, "X-A: 1\r\n\nX-B: 1\r\n": false,
		"X-A: 1\x01\r\n": false, "X-A: 1\rX-B: 1\r\n": false, "X-A: 1\r\n\r\n": false, "X-A: 1": false, "X-A\r\n": false, ": 1\r\n": false,
	} {
		l, _ := pair(t, func(context.Context, *call.Request) call.Response {
			return call.Response{Status: 200, Ran: reason.RanYes, ReachedServer: true, Head: []byte(head), Body: []byte("body")}
		})
		res := l.Do(context.Background(), testRequest())
		if valid && (res.Status != 200 || string(res.Head) != head) {
			t.Errorf("head %q arrives as %+v", head, res)
		}
		if !valid && (res.Status != 0 || res.Ran != reason.RanUnknown || !res.ReachedServer || len(res.Body) > 0) {
			t.Errorf("head %q is passed on as %+v", head, res)
		}
	}
}
