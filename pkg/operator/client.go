package operator

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/url"
)

// Client asks the administration API of one node. Every method returns a *Problem
// as its error.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client for the node with the given operators' address.
func NewClient(address string, config *tls.Config) *Client {
	transport := &http.Transport{TLSClientConfig: config}
	return &Client{base: "https://" + address + "/v1", http: &http.Client{Transport: transport}}
}

// Status returns the state of the node.
func (c *Client) Status(ctx context.Context) (answer Status, err error) {
	return answer, c.get(ctx, "/status", &answer)
}

// Sections lists the sections in force.
func (c *Client) Sections(ctx context.Context) (answer []SectionSummary, err error) {
	return answer, c.get(ctx, "/sections", &answer)
}

// Section returns the newest accepted section.
func (c *Client) Section(ctx context.Context, name string) (answer SectionResponse, err error) {
	return answer, c.get(ctx, "/sections/"+url.PathEscape(name), &answer)
}

// Edit asks for a section to be replaced.
func (c *Client) Edit(ctx context.Context, edit Edit) (answer EditResponse, err error) {
	body, err := json.Marshal(edit)
	if err != nil {
		return answer, &Problem{Kind: KindInvalid, Message: err.Error()}
	}
	err = c.do(ctx, http.MethodPut, "/sections/"+url.PathEscape(edit.Section.Name), body, &answer)
	return answer, editOutcome(edit, err)
}

// editOutcome turns a broken exchange into an unknown outcome, unless no
// connection could be opened: the node may have accepted the edit.
func editOutcome(edit Edit, err error) error {
	var problem *Problem
	if !errors.As(err, &problem) || problem.Kind != KindUnreachable {
		return err
	}
	var dial *net.OpError
	if errors.As(problem.cause, &dial) && dial.Op == "dial" {
		return err
	}
	return &Problem{Kind: KindUnknown, Section: edit.Section.Name, Message: problem.Message,
		Remedy: "run corianderctl operation " + edit.OperationID}
}

// Operation returns what became of an edit.
func (c *Client) Operation(ctx context.Context, id string) (answer EditResponse, err error) {
	return answer, c.get(ctx, "/operations/"+url.PathEscape(id), &answer)
}

// Moves lists the moves in force.
func (c *Client) Moves(ctx context.Context) (answer []MoveSummary, err error) {
	return answer, c.get(ctx, "/moves", &answer)
}

// Move returns the record of one move.
func (c *Client) Move(ctx context.Context, id string) (answer MoveRecord, err error) {
	return answer, c.get(ctx, "/moves/"+url.PathEscape(id), &answer)
}

// Nodes lists the members that the node knows.
func (c *Client) Nodes(ctx context.Context) (answer []NodeSummary, err error) {
	return answer, c.get(ctx, "/nodes", &answer)
}

// Counters returns the node's counters of refusals and retries.
func (c *Client) Counters(ctx context.Context) (answer []Counter, err error) {
	return answer, c.get(ctx, "/counters", &answer)
}

func (c *Client) get(ctx context.Context, path string, answer any) error {
	return c.do(ctx, http.MethodGet, path, nil, answer)
}

func (c *Client) do(ctx context.Context, method, path string, body []byte, answer any) error {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return &Problem{Kind: KindInternal, Message: err.Error()}
	}
	response, err := c.http.Do(request)
	if err != nil {
		return &Problem{Kind: KindUnreachable, Message: err.Error(),
			Remedy: "check --address and the key files, or ask another node", cause: err}
	}
	defer response.Body.Close()
	decoder := json.NewDecoder(response.Body)
	if response.StatusCode == http.StatusOK {
		if err := decoder.Decode(answer); err != nil {
			return &Problem{Kind: KindUnreachable, Message: "the answer was cut short: " + err.Error(), Remedy: "ask again"}
		}
		return nil
	}
	problem := &Problem{Kind: KindInternal, Message: "the node answered " + response.Status}
	_ = decoder.Decode(problem)
	return problem
}
