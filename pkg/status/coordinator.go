package status

// Coordinator is the node that grants the tokens of one part (stripe) of an account's limit.
type Coordinator struct {
	Stripe int `json:"stripe"`
	// Node is empty until a coordinator was asked.
	Node string `json:"node"`
	// Portion is the part of the account's limit that belongs to the stripe, 0 to 1.
	Portion float64 `json:"portion"`
	// Share is the part of all nodes' shares that the coordinator holds, as it said last, 0 to 1.
	Share float64 `json:"share"`
}
