package link

import (
	"encoding/binary"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/oops"

	"corianderwood.example/corianderwood/pkg/call"
	"corianderwood.example/corianderwood/pkg/framing"
	"corianderwood.example/corianderwood/pkg/reason"
	"corianderwood.example/corianderwood/pkg/routing"
)

const frameHeader = 5 // bytes: 4 for the length of the body, 1 for the kind

func encode(kind Kind, v any) ([]byte, error) {
	body, err := cbor.Marshal(v)
	if err != nil {
		return nil, oops.Wrapf(err, "cannot encode a frame of kind %d", kind)
	}
	return newFrame(kind, body), nil
}

func newFrame(kind Kind, body []byte) []byte {
	out := make([]byte, frameHeader, frameHeader+len(body))
	binary.BigEndian.PutUint32(out, uint32(len(body)))
	out[4] = byte(kind)
	return append(out, body...)
}

func newRequestFrame(sequence uint64, now time.Time, r *call.Request) requestFrame {
	return requestFrame{
		Sequence: sequence, ID: r.ID, Method: r.Method, Head: r.Head, Body: r.Body, Route: r.Route,
		Kind: uint8(r.Kind), Service: r.Service, Instance: r.Instance, Priority: r.Priority, Nested: r.Nested,
		DeadlineIn: r.Deadline.Sub(now).Microseconds(), SoftDeadlineIn: r.SoftDeadline.Sub(now).Microseconds(), CallID: r.CallID,
	}
}

func (f requestFrame) request(now time.Time) *call.Request {
	return &call.Request{
		ID: f.ID, Method: f.Method, Head: f.Head, Body: f.Body, Route: f.Route,
		Kind: routing.Kind(f.Kind), Service: f.Service, Instance: f.Instance, Priority: f.Priority, Nested: f.Nested,
		Deadline:     now.Add(time.Duration(f.DeadlineIn) * time.Microsecond),
		SoftDeadline: now.Add(time.Duration(f.SoftDeadlineIn) * time.Microsecond),
		CallID:       f.CallID,
	}
}

func newResponseFrame(sequence uint64, r call.Response) responseFrame {
	return responseFrame{
		Sequence: sequence, Status: r.Status, Head: r.Head, Body: r.Body, Refusal: r.Refusal, Ran: r.Ran,
		ReachedServer: r.ReachedServer, RetryAfter: r.RetryAfter.Microseconds(),
		Running: r.Load.Running, Waiting: r.Load.Waiting, Slots: r.Load.Slots,
		ServiceTime: r.Load.ServiceTime.Microseconds(), FailureRate: r.Load.FailureRate,
		UplinkBacklog: r.Load.UplinkBacklog.Microseconds(),
	}
}

// response returns the response of the peer, or one of unknown outcome if HTTP/1 doesn't allow its status or
// fields.
func (f responseFrame) response() call.Response {
	invalidStatus := !framing.IsFinalStatus(f.Status) && (f.Status != 0 || f.Refusal == "")
	if invalidStatus || !framing.AreFieldLines(f.Head) {
		return call.Response{Refusal: reason.UpstreamFailed, Ran: reason.RanUnknown, ReachedServer: true}
	}
	return call.Response{
		Status: f.Status, Head: f.Head, Body: f.Body, Refusal: f.Refusal, Ran: f.Ran, ReachedServer: f.ReachedServer,
		RetryAfter: time.Duration(f.RetryAfter) * time.Microsecond,
		Load: call.Load{
			Running: f.Running, Waiting: f.Waiting, Slots: f.Slots,
			ServiceTime: time.Duration(f.ServiceTime) * time.Microsecond, FailureRate: f.FailureRate,
			UplinkBacklog: time.Duration(f.UplinkBacklog) * time.Microsecond,
		},
	}
}
