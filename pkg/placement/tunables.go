package placement

import "time"

const (
	// initialServiceTime is the assumed service time before the first report.
	initialServiceTime = 80 * time.Millisecond
	// crossDomainDelay is added to the cost of a server in another failure domain:
	// about one round trip and the additional processing.
	crossDomainDelay = 4 * time.Millisecond
	// crossDomainPerByte is the additional wait in the node's own failure domain that
	// is accepted to avoid transferring one byte between failure domains, which is
	// charged. At 1 µs per byte a response of 90 KB waits up to 90 ms.
	crossDomainPerByte = 1 * time.Microsecond
	// localSlackShare is the largest share of the time that the best server would leave
	// until the target latency that a request may use up to stay in its failure domain.
	// The rest covers the spread of response times around their estimates.
	localSlackShare = 0.5
	// routeTimeFade is the age at which a reported service time counts no more. A server that stays
	// slow gets one request of each node about as often.
	routeTimeFade = time.Minute
	// meanTimeWeight is the weight of one report in the mean service time of a server.
	meanTimeWeight = 0.1
	// warmUpFactor is the factor by which service times are longer during the warm-up.
	warmUpFactor = 2.0
	// minLimitedSlots is the smallest number of slots that is assumed for a server with a
	// limit of requests.
	minLimitedSlots = 0.1
	// failurePenalty is the cost, in service times, of a failure rate of 1.
	failurePenalty = 6.0
	// failureDecayTime is the age at which a reported failure rate counts half, so that
	// a recovered server is retried.
	failureDecayTime = 10 * time.Second
	// outlierExcess is how far a server's failure rate must exceed the mean of the
	// other servers of its service for the server to be excluded. Failures shared by
	// all servers, such as those of a common dependency, exclude none of them.
	outlierExcess = 0.25
	// utilisationPenalty is the cost, in service times, of a fully utilised server.
	// Some servers slow down when nearly full.
	utilisationPenalty = 0.3
	// sampleSize is the number of servers compared for one request.
	sampleSize = 2
	// largeResponseBytes is the mean response size, in bytes, from which the links
	// count and the own server is preferred to others of the same failure domain. For
	// small responses, the delay between failure domains costs more than the transferred
	// bytes.
	largeResponseBytes = 16 << 10
	// largeBodyBytes is the size of a request body, in bytes, with the same effect. Larger
	// requests wait for a grant of the server's node.
	largeBodyBytes = 16 << 10
	// clientDeliveryTime is the time that the client's connection adds to a large
	// response: several round trips of TCP slow start.
	clientDeliveryTime = 100 * time.Millisecond
	// unreportedWeight is the weight of a request sent since the last report. It
	// exceeds 1 to account for requests that other nodes have sent in the meantime.
	unreportedWeight = 8.0
	// unreportedDecayTime is the time constant with which requests without a report cease to
	// count. It is longer than reports usually take, which end the count at once.
	unreportedDecayTime = time.Second
	// jitter is the relative random variation of the cost, so that nodes with the same
	// reports do not all choose the same server.
	jitter = 0.1
	// responseSizeWeight is the weight of one response in a route's mean response size.
	responseSizeWeight = 0.1
)
