package move

// Decision is what a decider wants done now.
type Decision struct {
	// State is to be merged into the node's marks and spread by gossip.
	State State
	// Outcome is to be written by the Recorder, until SetOutcome has told the
	// decider the recorded one; nil while the move runs.
	Outcome *Outcome
	// Holding is set while suspicious evidence holds the stage back.
	Holding bool
}
