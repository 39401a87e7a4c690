package config

// Section is the part of the document that one team owns and edits.
type Section struct {
	Name     string    `json:"name"`
	Team     string    `json:"team"`
	Services []Service `json:"services"`
	Routes   []Route   `json:"routes"`
}
