package link

import (
	"bytes"
	"compress/flate"
	"errors"
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/oops"
)

// RowsFrame is an encoded Rows. It can be sent on several links.
type RowsFrame struct{ frame []byte }

// EncodeRows compresses rows, since configurations are long and repetitive.
func EncodeRows(r Rows) (RowsFrame, error) {
	body, err := cbor.Marshal(r)
	if err != nil {
		return RowsFrame{}, oops.Wrapf(err, "encode rows")
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return RowsFrame{}, oops.Wrapf(err, "compress rows")
	}
	if _, err := w.Write(body); err != nil {
		return RowsFrame{}, oops.Wrapf(err, "compress rows")
	}
	if err := w.Close(); err != nil {
		return RowsFrame{}, oops.Wrapf(err, "compress rows")
	}
	return RowsFrame{frameOf(KindRows, out.Bytes())}, nil
}

// SendRows queues encoded rows. It never blocks.
func (l *Link) SendRows(r RowsFrame) error {
	return l.sendFrame(r.frame, urgency{by: time.Now().Add(controlTarget)})
}

func decodeRows(body []byte) (Rows, error) {
	var r Rows
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(body)), maxFrameBytes+1))
	if err != nil {
		return r, oops.Wrapf(err, "inflate rows")
	}
	if len(plain) > maxFrameBytes {
		return r, errors.New("link: rows are too large; is the peer a node of this version?")
	}
	return r, cbor.Unmarshal(plain, &r)
}
