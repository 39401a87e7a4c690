package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/spf13/cobra"

	"corianderwood.example/corianderwood/pkg/explain"
	"corianderwood.example/corianderwood/pkg/framing"
	"corianderwood.example/corianderwood/pkg/operator"
)

// maxExplanationBytes bounds what is read of an answer: 500 candidates take some 300 kB.
const maxExplanationBytes = 4 << 20

// explanation is the JSON output of "sidecar explain".
type explanation struct {
	// Answer is that of the first node that has answered.
	Answer explain.Answer `json:"answer"`
	// Differences are those of the answers of further nodes.
	Differences []explain.Difference `json:"differences"`
	NotReached  []unreachedNode      `json:"notReached"`
}

type unreachedNode struct {
	Node  string `json:"node"`
	Error string `json:"error"`
}

func newSidecarExplainCommand(f *sidecarFlags) *cobra.Command {
	var q explain.Question
	cmd := &cobra.Command{
		Use: "explain --node URL --path PATH", Short: "Explain where a node would send a request now, without sending it", Args: noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := f.checkOutput(); err != nil {
				return err
			}
			nodes, err := f.addresses()
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(cmd.Context(), f.timeout)
			defer cancel()
			e, err := askExplanations(ctx, nodes, q)
			if err != nil {
				return err
			}
			if f.output == outputJSON {
				err = f.write(cmd.OutOrStdout(), e, table{})
			} else {
				err = f.writeExplanation(cmd.OutOrStdout(), e)
			}
			if err != nil || len(e.NotReached) == 0 {
				return err
			}
			return &operator.Problem{Kind: operator.KindUnreachable, Message: fmt.Sprintf("%d of %d nodes did not answer", len(e.NotReached), len(nodes)),
				Remedy: "check their addresses, and whether their processes run"}
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&q.Path, "path", "", "path of the request")
	flags.StringVar(&q.Method, "method", http.MethodGet, "method of the request")
	flags.StringVar(&q.Host, "host", "", "host of the request; may be left out if the configuration has one host")
	flags.StringVar(&q.Account, "account", "", "name of the account whose key the request has, never a key")
	flags.IntVar(&q.BodyBytes, "size", 0, "bytes of the body")
	flags.BoolVar(&q.Nested, "nested", false, "the request is a call that the node's server makes")
	_ = cmd.MarkFlagRequired("path") // fails only for an unknown flag
	return cmd
}

// askExplanations asks the nodes at the same time. It returns an error if a node rejects the question
// or none answers.
func askExplanations(ctx context.Context, nodes []string, q explain.Question) (explanation, error) {
	type reply struct {
		answer explain.Answer
		err    error
	}
	replies := make([]chan reply, len(nodes))
	for i, node := range nodes {
		replies[i] = make(chan reply, 1)
		go func() {
			answer, err := askExplanation(ctx, node, q)
			replies[i] <- reply{answer, err}
		}()
	}
	e := explanation{Differences: []explain.Difference{}, NotReached: []unreachedNode{}}
	answered := false
	for i := range nodes {
		r := <-replies[i]
		var problem *operator.Problem
		switch {
		case errors.As(r.err, &problem) && problem.Kind == operator.KindInvalid:
			return e, r.err
		case r.err != nil:
			e.NotReached = append(e.NotReached, unreachedNode{nodes[i], r.err.Error()})
		case !answered:
			e.Answer, answered = r.answer, true
		default:
			e.Differences = append(e.Differences, explain.Differences(e.Answer, r.answer)...)
		}
	}
	if !answered {
		return e, &operator.Problem{Kind: operator.KindUnreachable, Message: "no node has answered: " + e.NotReached[0].Error,
			Remedy: "check the addresses, and whether the processes run"}
	}
	return e, nil
}

// askExplanation asks one node.
func askExplanation(ctx context.Context, address string, q explain.Question) (explain.Answer, error) {
	var answer explain.Answer
	ctx, cancel := context.WithTimeout(ctx, nodeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address+"/explain?"+q.Values().Encode(), nil)
	if err != nil {
		return answer, err
	}
	transport := &http.Transport{DisableKeepAlives: true} // without a proxy, unlike the default one
	res, err := transport.RoundTrip(req)
	if err != nil {
		return answer, err
	}
	defer res.Body.Close()
	if err := framing.CheckFinal(res); err != nil {
		return answer, err
	}
	raw, err := io.ReadAll(io.LimitReader(res.Body, maxExplanationBytes))
	if err != nil {
		return answer, err
	}
	switch {
	case res.StatusCode == http.StatusBadRequest:
		return answer, &operator.Problem{Kind: operator.KindInvalid, Message: strings.TrimSpace(string(raw))}
	case res.StatusCode != http.StatusOK:
		return answer, fmt.Errorf("status %d: %s", res.StatusCode, strings.TrimSpace(string(raw)))
	}
	if err := json.Unmarshal(raw, &answer); err != nil {
		return answer, fmt.Errorf("the answer is no explanation, which an earlier version of the node does not give: %w", err)
	}
	return answer, nil
}
