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

// RowsFrame is an encoded Rows frame. It can be sent on several links.
type RowsFrame struct{ frame []byte }

// EncodeRows encodes and compresses rows; configurations are long and repetitive.
func EncodeRows(r Rows) (RowsFrame, error) {
	body, err := cbor.Marshal(r)
	if err != nil {
		return RowsFrame{}, oops.Wrapf(err, "cannot encode rows")
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return RowsFrame{}, oops.Wrapf(err, "cannot compress rows")
	}
	if _, err := w.Write(body); err != nil {
		return RowsFrame{}, oops.Wrapf(err, "cannot compress rows")
	}
	if err := w.Close(); err != nil {
		return RowsFrame{}, oops.Wrapf(err, "cannot compress rows")
	}
	return RowsFrame{newFrame(KindRows, out.Bytes())}, nil
}

// SendRows queues encoded rows. It never blocks and fails like Send.
func (l *Link) SendRows(r RowsFrame) error {
	return l.sendFrame(r.frame, urgency{softDeadline: time.Now().Add(controlSoftDeadline), shared: true})
}

func decodeRows(body []byte) (Rows, error) {
	var r Rows
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(body)), maxRowsBytes+1))
	if err != nil {
		return r, oops.Wrapf(err, "cannot decompress rows")
	}
	if len(plain) > maxRowsBytes {
		return r, errors.New("link: decompressed rows exceed the size limit of a table; check that the peer is a node of a compatible version")
	}
	return r, cbor.Unmarshal(plain, &r)
}
