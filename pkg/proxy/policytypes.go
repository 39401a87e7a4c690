package proxy

import (
	"corianderwood.example/corianderwood/pkg/balance"
	"corianderwood.example/corianderwood/pkg/retry"
)

// Types of the policy packages that the interfaces of this package use.
type (
	// Endpoint is an upstream as the balancer knows it.
	Endpoint = balance.Endpoint
	// Load is the load that an upstream's node reports.
	Load = balance.Load
	// Result is how an attempt ended.
	Result = balance.Result
	// Verdict is the class of an attempt's outcome.
	Verdict = retry.Classification
	// Decision is the verdict of the retry policy.
	Decision = retry.Decision
)
