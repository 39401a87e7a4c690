package move

// Decision is the action that a decider requests.
type Decision struct {
	// State is to be merged into the node's move state and sent to peers by gossip.
	State State
	// Outcome is to be written by the Recorder until SetOutcome is called with the
	// recorded one. It is nil while the move runs.
	Outcome *Outcome
	// Holding is true while suspicious evidence delays the next stage.
	Holding bool
}
