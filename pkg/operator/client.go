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

	"corianderwood.example/corianderwood/pkg/framing"
)

// Client is a client of the administration API of one node. Every error that its methods
// return is a *Problem. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client for the node whose listener for operators has the given
// address, IP:port. config is that of keys.Reloader.OperatorClient.
func NewClient(address string, config *tls.Config) *Client {
	transport := &http.Transport{TLSClientConfig: config}
	return &Client{base: "https://" + address + "/v1", http: &http.Client{Transport: transport}}
}

// Status returns the state of the node.
func (c *Client) Status(ctx context.Context) (result Status, err error) {
	return result, c.get(ctx, "/status", &result)
}

// Sections returns the sections of the node's newest complete revision.
func (c *Client) Sections(ctx context.Context) (result []SectionSummary, err error) {
	return result, c.get(ctx, "/sections", &result)
}

// Section returns the newest accepted section.
func (c *Client) Section(ctx context.Context, name string) (result SectionResponse, err error) {
	return result, c.get(ctx, "/sections/"+url.PathEscape(name), &result)
}

// Edit replaces or creates a section.
func (c *Client) Edit(ctx context.Context, edit Edit) (result EditResponse, err error) {
	body, err := json.Marshal(edit)
	if err != nil {
		return result, &Problem{Kind: KindInvalid, Message: err.Error()}
	}
	err = c.do(ctx, http.MethodPut, "/sections/"+url.PathEscape(edit.Section.Name), body, &result)
	return result, editOutcome(edit, err)
}

// editOutcome converts a failed exchange into an unknown outcome, because the node may
// have accepted the edit. If no connection could be opened, the error stays as it is.
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

// Operation returns the result of an earlier edit.
func (c *Client) Operation(ctx context.Context, id string) (result EditResponse, err error) {
	return result, c.get(ctx, "/operations/"+url.PathEscape(id), &result)
}

// Moves returns the moves of the revision in force.
func (c *Client) Moves(ctx context.Context) (result []MoveSummary, err error) {
	return result, c.get(ctx, "/moves", &result)
}

// Move returns the record of one move.
func (c *Client) Move(ctx context.Context, id string) (result MoveRecord, err error) {
	return result, c.get(ctx, "/moves/"+url.PathEscape(id), &result)
}

// Nodes returns the members that the node knows.
func (c *Client) Nodes(ctx context.Context) (result []NodeSummary, err error) {
	return result, c.get(ctx, "/nodes", &result)
}

// Counters returns the node's counters of first attempts, refused requests and retries.
func (c *Client) Counters(ctx context.Context) (result []Counter, err error) {
	return result, c.get(ctx, "/counters", &result)
}

func (c *Client) get(ctx context.Context, path string, result any) error {
	return c.do(ctx, http.MethodGet, path, nil, result)
}

func (c *Client) do(ctx context.Context, method, path string, body []byte, result any) error {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return &Problem{Kind: KindInternal, Message: err.Error()}
	}
	response, err := c.http.Do(request)
	if err != nil {
		return &Problem{Kind: KindUnreachable, Message: err.Error(),
			Remedy: "check --address and the key files, or use the address of another node", cause: err}
	}
	defer response.Body.Close()
	if err := framing.CheckFinal(response); err != nil {
		return &Problem{Kind: KindUnreachable, Message: err.Error(), Remedy: "check that --address is that of a node, or use another one"}
	}
	decoder := json.NewDecoder(response.Body)
	if response.StatusCode == http.StatusOK {
		if err := decoder.Decode(result); err != nil {
			return &Problem{Kind: KindUnreachable, Message: "cannot decode the response: " + err.Error(), Remedy: "run the command again"}
		}
		return nil
	}
	problem := &Problem{Kind: KindInternal, Message: "the node responded with status " + response.Status}
	_ = decoder.Decode(problem)
	return problem
}
