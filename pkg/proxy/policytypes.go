package proxy

import (
	"corianderwood.example/corianderwood/pkg/balance"
	"corianderwood.example/corianderwood/pkg/retry"
)

// Types of the balance and retry packages that the interfaces of this package use.
type (
	// Endpoint is an upstream with its address and attributes.
	Endpoint = balance.Endpoint
	// Load is the load reported by an upstream's node.
	Load = balance.Load
	// Result is the result of an attempt, for the balancer.
	Result = balance.Result
	// Classification is the class of an attempt's outcome, for the retry policy.
	Classification = retry.Classification
	// Decision is the retry policy's decision about a further attempt.
	Decision = retry.Decision
)
