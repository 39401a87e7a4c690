package node

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"corianderwood.example/corianderwood/pkg/accept"
	"corianderwood.example/corianderwood/pkg/config"
	"corianderwood.example/corianderwood/pkg/gossip"
	"corianderwood.example/corianderwood/pkg/member"
	"corianderwood.example/corianderwood/pkg/operator"
	"corianderwood.example/corianderwood/pkg/platform"
)

// Guards against polling that, with 1,400 nodes, uses more than a tenth of the platform's
// 2,000 reads per second, or that alone cannot deliver a revision within 12 s.
func TestPollWait(t *testing.T) {
	const members, samples = 1400, 1000
	var sum, longest time.Duration
	for i := range samples {
		wait := pollWait(members, float64(i)/samples)
		sum += wait
		longest = max(longest, wait)
	}
	if reads := members / (sum.Seconds() / samples); reads > 200.5 {
		t.Errorf("%d nodes make %.1f reads per second, want at most 200", members, reads)
	}
	const fetch = 3 * time.Second // one read of the head and one of a body, including slow reads up to their timeout
	if longest+fetch > 12*time.Second {
		t.Errorf("a node polls after up to %v, too late for 12 s", longest)
	}
}

// Guards against a revision that is put in force although a section body is missing.
func TestDocumentsNeedEveryBody(t *testing.T) {
	body := []byte(`{"name":"orders","team":"orders","services":[],"routes":[]}`)
	hash := config.HashBody(body)
	revision := gossip.Revision{
		Head: config.Head{Revision: 4, Sections: map[string]config.SectionRef{
			"orders": {Hash: hash, Revision: 1, Team: "orders"},
			"stock":  {Hash: strings.Repeat("0", 64), Revision: 1, Team: "stock"},
		}},
		Bodies: map[string][]byte{hash: body},
	}
	var docs documents
	if _, err := docs.build(revision); err == nil {
		t.Fatal("a document was built without the body of section stock")
	}
	delete(revision.Head.Sections, "stock")
	doc, err := docs.build(revision)
	if err != nil || doc.Revision != 4 || len(doc.Sections) != 1 {
		t.Fatalf("document %+v, error %v; want revision 4 with one section", doc, err)
	}
}

// Guards against an edit with an unknown outcome that is reported to operators as not
// written.
func TestProblemOf(t *testing.T) {
	tests := []struct {
		err  error
		kind operator.Kind
	}{
		{&accept.ConflictError{Section: "orders", Base: 1, Current: 2}, operator.KindConflict},
		{&accept.UnknownOutcomeError{OperationID: "op-1", Cause: errors.New("timeout")}, operator.KindUnknown},
		{&accept.UnavailableError{Cause: platform.ErrUnavailable}, operator.KindUnavailable},
		{fmt.Errorf("read: %w", platform.ErrUnavailable), operator.KindUnavailable},
		{accept.ErrOperationReused, operator.KindInvalid},
		{config.Problem{Section: "orders", Field: "team", Forbidden: true}, operator.KindForbidden},
		{config.Problem{Section: "orders", Field: "services[a].version"}, operator.KindInvalid},
	}
	for _, test := range tests {
		var problem *operator.Problem
		if err := problemOf(test.err); !errors.As(err, &problem) || problem.Kind != test.kind {
			t.Errorf("problem of %v is %v, want kind %s", test.err, err, test.kind)
		}
	}
	if err := problemOf(nil); err != nil {
		t.Errorf("problem of no error is %v", err)
	}
}

// Guards against calls that are sent to draining, leaving or dead upstreams.
func TestUsable(t *testing.T) {
	announced := member.Upstream{Service: "orders", Version: "v1"}
	draining := member.Upstream{Service: "orders", Version: "v1", Draining: true}
	tests := []struct {
		member member.Member
		want   bool
	}{
		{member.Member{State: member.Alive, Upstream: announced}, true},
		{member.Member{State: member.Suspect, Upstream: announced}, true},
		{member.Member{State: member.Leaving, Upstream: announced}, false},
		{member.Member{State: member.Dead, Upstream: announced}, false},
		{member.Member{State: member.Alive, Upstream: draining}, false},
		{member.Member{State: member.Alive}, false},
	}
	for _, test := range tests {
		if got := usable(test.member); got != test.want {
			t.Errorf("usable(%+v) = %v, want %v", test.member, got, test.want)
		}
	}
}

// Guards against a node that is reported as ready before its minimum revision is known, or
// while it is stopping.
func TestReadiness(t *testing.T) {
	var r readiness
	r.set(func(r *readiness) { r.applied = true })
	if r.Reason() != reasonMinRevision {
		t.Errorf("reason %q, want %q", r.Reason(), reasonMinRevision)
	}
	r.set(func(r *readiness) { r.minRevisionKnown = true })
	if r.Reason() != "" {
		t.Errorf("reason %q, want none", r.Reason())
	}
	r.set(func(r *readiness) { r.leaving = true })
	if r.Reason() != reasonLeaving {
		t.Errorf("reason %q, want %q", r.Reason(), reasonLeaving)
	}
}
