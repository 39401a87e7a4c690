package soak

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
)

const (
	// blockSize is the length, in bytes, of a block of a body.
	blockSize = 1000
	// chunkSize is the length, in bytes, of the chunks of a response, but for the last one.
	chunkSize = 6000
	// cutHeadOneIn and cutTailOneIn, in responses, are how rare cuts within the head and within
	// the last maxTail bytes are. So few bytes do not hold the status line that fills them up.
	cutHeadOneIn = 4
	cutTailOneIn = 4
	maxTail      = len("HTTP/1.1 ")
)

// response is a response of a server. The body is that of a success; others have none.
type response struct {
	status              int
	id, signature, body string
	notExecuted         bool
	framing             framing
}

// encode returns the response as it is sent. The head is its first part.
func (r response) encode() (encoded, head []byte) {
	var out bytes.Buffer
	header := make(http.Header)
	for name, value := range map[string]string{headers.RequestID: r.id, headers.Signature: r.signature} {
		if value != "" {
			header.Set(name, value)
		}
	}
	if r.notExecuted {
		header.Set(headers.NotExecuted, "1")
	}
	body := []byte(r.body)
	if r.status != http.StatusOK {
		body = nil
	}
	switch r.framing {
	case byLength:
		header.Set("Content-Length", fmt.Sprint(len(body)))
	case byChunks:
		header.Set("Transfer-Encoding", "chunked")
	}
	fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\n", r.status, http.StatusText(r.status))
	_ = header.Write(&out) // a buffer returns no errors
	out.WriteString("\r\n")
	length := out.Len()
	if r.framing == byChunks {
		for chunk := range slices.Chunk(body, chunkSize) {
			fmt.Fprintf(&out, "%x\r\n%s\r\n", len(chunk), chunk)
		}
		out.WriteString(endOfChunks)
	} else {
		out.Write(body)
	}
	return out.Bytes(), out.Bytes()[:length]
}

// endOfChunks follows the line end of the last chunk.
const endOfChunks = "0\r\n\r\n"

// cut returns a part of the encoded response, from its start. Half of the other chunked
// ones lack what the head of a copy, all but its empty line, fills up, so that the chunks still parse.
func (r response) cut() []byte {
	encoded, head := r.encode()
	gap := len("\r\n"+endOfChunks) + len(head) - len("\r\n")
	switch {
	case rand.IntN(cutHeadOneIn) == 0:
		return encoded[:1+rand.IntN(len(head)-1)]
	case rand.IntN(cutTailOneIn) == 0:
		return encoded[:len(encoded)-1-rand.IntN(maxTail)]
	case r.framing == byChunks && rand.IntN(2) == 0 && len(encoded)-gap > len(head):
		return encoded[:len(encoded)-gap]
	default:
		return encoded[:1+rand.IntN(len(encoded)-1)]
	}
}

// responseBody returns the body of the success of an execution. Each of its blocks differs
// from the others, and its end names the execution.
func responseBody(service, id, requestBody string, execution, blocks int) string {
	var out strings.Builder
	for n := range blocks {
		fmt.Fprintf(&out, "%-*d\n", blockSize-1, n)
	}
	fmt.Fprintf(&out, "%s %s %s %d", service, id, requestBody, execution)
	return out.String()
}

// signatureOf returns the signature header of the response of an execution. A client detects by
// it a header that was lost or belongs to another response.
func signatureOf(id string, execution, blocks int) string {
	return fmt.Sprintf("signed%s.%d.%d", id, execution, blocks)
}

// executionOf returns the numbers of the execution and of the blocks of the body that a
// signature names; ok is false if it is not the signature of a response to the request with the
// given id.
func executionOf(id, text string) (execution, blocks int, ok bool) {
	_, err := fmt.Sscanf(text, "signed"+id+".%d.%d", &execution, &blocks)
	if err != nil || text != signatureOf(id, execution, blocks) || blocks < 0 || blocks >= maxLongBlocks {
		return 0, 0, false
	}
	return execution, blocks, true
}
