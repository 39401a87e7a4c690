package settings

// TLS holds the paths of the key files for connections between nodes and from operators.
type TLS struct {
	CA          string `json:"ca"`
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
}

// KeyPair holds the paths of the key files of the listener for callers.
type KeyPair struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
}
