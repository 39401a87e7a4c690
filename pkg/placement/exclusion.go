package placement

// Exclusion is the reason why a server is not chosen for a request. The values are in explanations.
type Exclusion string

// Exclusions.
const (
	Evacuated      Exclusion = "evacuated"   // its failure domain is evacuated
	Tried          Exclusion = "tried"       // the request was offered to it before
	RolloutVersion Exclusion = "rollout"     // its version gets no request now
	NotLinked      Exclusion = "not-linked"  // requests may not reach it, and reach others
	Failing        Exclusion = "failing"     // it fails many more requests than the others
	AtColdLimit    Exclusion = "cold-limit"  // it is cold and takes no requests, and others do
	StaysLocal     Exclusion = "stays-local" // the request stays at nearer servers
	Slower         Exclusion = "slower"      // the other servers that it is compared with are estimated to be faster
)
