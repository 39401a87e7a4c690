package member

// State is the liveness state of a member.
type State uint8

// States in ascending precedence at equal incarnation and sequence.
const (
	Alive State = iota
	Suspect
	Leaving
	Dead
)

// String returns the lower-case name of the state.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Leaving:
		return "leaving"
	case Dead:
		return "dead"
	default:
		return "invalid"
	}
}
