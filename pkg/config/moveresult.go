package config

// MoveResult is the result of a finished move, as ApplyEdit takes it. The stored outcome
// record has the texts move.ResultDone and move.ResultRolledBack instead.
type MoveResult string

// Results of a move.
const (
	MoveDone       MoveResult = "done"       // the service runs the move's target version
	MoveRolledBack MoveResult = "taken-back" // the service still runs the version from before the move
)

// MoveIDs returns the ids of the moves in the sections.
func MoveIDs(sections ...Section) []string {
	var ids []string
	for _, s := range sections {
		for _, service := range s.Services {
			if service.Move != nil {
				ids = append(ids, service.Move.ID)
			}
		}
	}
	return ids
}
