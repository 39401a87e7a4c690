package config

// Route routes matching requests to a service.
type Route struct {
	Name string `json:"name"`
	// Host matches the request host without port; empty matches every host.
	Host string `json:"host,omitempty"`
	// PathPrefix matches whole path segments; the longest matching prefix wins.
	PathPrefix string `json:"path_prefix"`
	// Methods lists the matching methods; empty matches all.
	Methods    []string      `json:"methods,omitempty"`
	Service    string        `json:"service"`
	Repeatable Repeatability `json:"repeatable,omitempty"`
	// TimeoutMS overrides the timeout of the service, in milliseconds; 0 means no
	// override.
	TimeoutMS int `json:"timeout_ms,omitempty"`
}
