package config

// Retry is the retry policy for calls to a service.
type Retry struct {
	// Ratio is the number of retry tokens that each first attempt adds to the budget.
	Ratio float64 `json:"ratio"`
	// Cap is the maximum number of tokens in the budget.
	Cap int `json:"cap"`
	// BaseMS and MaxWaitMS bound the full-jitter backoff, in milliseconds.
	BaseMS    int `json:"base_ms"`
	MaxWaitMS int `json:"max_wait_ms"`
}
