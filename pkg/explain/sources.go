package explain

import (
	"time"

	"corianderwood.example/corianderwood/pkg/account"
	"corianderwood.example/corianderwood/pkg/admission"
	"corianderwood.example/corianderwood/pkg/boundedio"
	"corianderwood.example/corianderwood/pkg/dispatch"
	"corianderwood.example/corianderwood/pkg/quota"
)

// Sources are the parts of a node that an explanation is made from. None of their functions changes
// state.
type Sources struct {
	Instance, FailureDomain string
	// Service is that of the node's own server.
	Service    string
	Dispatcher *dispatch.Dispatcher
	Admission  *admission.Controller
	// Availability returns what a request of a limited account finds now; false if the node knows no limit
	// of it. A request waits for a token for up to TokenWait.
	Availability func(a *account.Account) (quota.Availability, bool)
	TokenWait    time.Duration
	// FreshMs returns for how many milliseconds the configuration stays current enough to accept keys,
	// -1 if that does not matter.
	FreshMs func() float64
	Memory  *boundedio.Budget
	// Connections returns the number of client connections and their limit.
	Connections func() (open, limit int)
	// Absent returns the servers that may be of the service and are not known to the selector.
	Absent func(service string) []Absent
}

// Absent is a server that a node may not choose at all.
type Absent struct {
	Node, Instance, FailureDomain string
	// Excluded is the reason.
	Excluded string
}
