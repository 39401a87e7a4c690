package mesh

import (
	"bytes"
	"fmt"
	"hash/crc32"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// Answer is what a client got for a request.
type Answer struct {
	Status    int
	Body      []byte
	Signature string
	Err       error
}

// Complete reports whether the answer is a success with the server's signature and the
// whole body that it stands for.
func (a Answer) Complete(id string) bool {
	return a.Err == nil && a.Status/100 == 2 && a.Signature == fmt.Sprintf("%s.%d.%08x", id, len(a.Body), crc32.ChecksumIEEE(a.Body))
}

// Client sends requests to the node of one machine and keeps connections open.
type Client struct {
	record *Record
	node   string
	http   *http.Client
}

// NewClient returns a client on the machine.
func NewClient(record *Record, m *Machine) *Client {
	return &Client{record: record, node: m.Outbound(), http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}}
}

// RequestID returns a new id.
func RequestID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Do sends one request and waits for its answer.
func (c *Client) Do(method, host, path string, body []byte, deadline time.Duration) (string, Answer) {
	id := RequestID()
	req, err := http.NewRequest(method, "http://"+c.node+path, bytes.NewReader(body))
	if err != nil {
		return id, Answer{Err: err}
	}
	req.Host = host
	req.Header.Set("X-Corianderwood-Request-Id", id)
	req.Header.Set("X-Corianderwood-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	c.http.Timeout = deadline
	a := c.answer(req)
	if a.Err != nil {
		c.record.Printf("client: %s %s %s gets no answer: %v", method, path, id, a.Err)
	} else {
		c.record.Printf("client: %s %s %s gets %d, %d bytes", method, path, id, a.Status, len(a.Body))
	}
	return id, a
}

func (c *Client) answer(req *http.Request) Answer {
	res, err := c.http.Do(req)
	if err != nil {
		return Answer{Err: err}
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return Answer{Status: res.StatusCode, Body: body, Signature: res.Header.Get("X-Corianderwood-Response-Signature"), Err: err}
}
