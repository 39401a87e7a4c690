package settings

// Moves holds the settings of moves. They should be the same on all nodes of a mesh.
type Moves struct {
	// FalseAlarmRate is the fraction of moves to a good version that may be rolled back
	// by chance, above 0 and up to 0.1.
	FalseAlarmRate float64 `json:"false_alarm_rate"`
}
