package config

// Document is the whole configuration: all sections by name. It must not be changed
// after it has been checked.
type Document struct {
	Revision uint64             `json:"revision"`
	Sections map[string]Section `json:"sections"`
}
