package placement

import "time"

const (
	// initialServiceTime is assumed of a server before its first report.
	initialServiceTime = 80 * time.Millisecond
	// crossDomainDelay is added for a server in another failure domain: about
	// one round trip and the additional processing.
	crossDomainDelay = 4 * time.Millisecond
	// crossDomainPerByte is the wait that is accepted in the own failure domain
	// to keep one byte of a response within it. Traffic between failure
	// domains is charged; at 1 µs a byte a response of 90 KB waits up to 90 ms.
	crossDomainPerByte = 1 * time.Microsecond
	// warmUpFactor is how much slower a server that warms up is.
	warmUpFactor = 2.0
	// failurePenalty is how many service times a failing server is put back.
	failurePenalty = 6.0
	// failureMemory is how fast a reported failure rate fades, so that a server
	// that has recovered is tried again.
	failureMemory = 10 * time.Second
	// outlierExcess is by how much a server's failure rate must exceed the mean of the
	// others of its service for the server to be left out. Failures that all servers
	// share, as of a service that they call, leave none out.
	outlierExcess = 0.25
	// utilisationPenalty is the part of a service time by which a nearly full
	// server is put back; some servers slow down when nearly full.
	utilisationPenalty = 0.3
	// sampleSize is how many servers are compared for one request.
	sampleSize = 2
	// largeResponse is the mean size, in bytes, from which the failure domain
	// matters: below it, the delay between domains costs more than the bytes.
	largeResponse = 16 << 10
	// clientDelivery is the time that a client's connection adds to a large response:
	// some round trips of the slow start.
	clientDelivery = 100 * time.Millisecond
	// unreportedWeight counts a request that this node has sent since the last
	// report more than once, for those that other nodes have sent meanwhile.
	unreportedWeight = 8.0
	// jitter varies the cost at random, so that nodes with the same reports do
	// not all choose the same server.
	jitter = 0.1
	// sizeWeight is the weight of one response in a route's mean size.
	sizeWeight = 0.1
)
