package account

// Account is a client of the deployment that authenticates by keys.
type Account struct {
	// Name identifies the account to servers, operators and other nodes.
	Name string
	// Priority replaces the priority of the route if HasPriority is set; 0 is the most urgent.
	Priority    int
	HasPriority bool
	// RatePerSecond and Burst limit the account's requests, for all nodes together. A rate of 0
	// means no limit.
	RatePerSecond float64
	Burst         float64
}

// Limited reports whether the account has a limit of requests.
func (a *Account) Limited() bool { return a.RatePerSecond > 0 }
