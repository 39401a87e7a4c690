package status

// Limits of the lists in a Document.
const (
	MaxAccounts = 200
	MaxServers  = 500
	MaxHolders  = 20
)

// Document is the status of one node.
type Document struct {
	Node Node `json:"node"`
	// Accounts are those of the configuration in force, the ones that were refused at their limit
	// most recently first. AccountsOmitted is the number of those beyond MaxAccounts.
	Accounts        []Account `json:"accounts"`
	AccountsOmitted int       `json:"accountsOmitted"`
	// Refusals counts the requests that the node has refused since its start, by reason.
	Refusals    map[string]uint64 `json:"refusals"`
	Evacuations []Evacuation      `json:"evacuations"`
	// ColdServers and Servers hold the servers to which the node sends requests, and its own server
	// while it is not draining. Each list has at most MaxServers entries.
	ColdServers        []ColdServer `json:"coldServers"`
	ColdServersOmitted int          `json:"coldServersOmitted"`
	Servers            []Server     `json:"servers"`
	ServersOmitted     int          `json:"serversOmitted"`
	Memory             Memory       `json:"memory"`
}
