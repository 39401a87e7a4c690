package move

import "time"

// Share returns the fraction of calls, in [0, 1], that goes to the new version. It
// follows the later of the scheduled and the replicated stage, and is 0 once the move
// is rolled back or withdrawn. A recorded outcome overrides it (see TrafficSplitter).
func Share(p Plan, m State, now time.Time) float64 {
	if p.Withdraw || m.RolledBack {
		return 0
	}
	return steps[Stage(p, m, now)]
}

// Stage returns the index of the current step of the move: the later of the scheduled
// and the replicated stage. It ignores a rollback.
func Stage(p Plan, m State, now time.Time) uint8 {
	if m.Done {
		return fullStage
	}
	return max(min(m.Stage, fullStage), scheduled(p, now))
}

// scheduled returns the stage that the plan must have reached by now.
func scheduled(p Plan, now time.Time) uint8 {
	if !now.Before(p.FinishBy) {
		return fullStage
	}
	window := float64(p.window())
	if window == 0 {
		return 0
	}
	elapsed := float64(now.Sub(p.AcceptedAt))
	stage := uint8(0)
	for i, fraction := range latestStageStart {
		if elapsed >= fraction*window {
			stage = uint8(i)
		}
	}
	return stage
}

// StageWithoutHold returns the stage of a move that is never delayed by suspicious
// evidence: all earlier stages have lasted their bake times.
func StageWithoutHold(p Plan, now time.Time) uint8 {
	window := float64(p.window())
	if window == 0 {
		return 0
	}
	elapsed := float64(now.Sub(p.AcceptedAt))
	stage, fraction := uint8(0), 0.0
	for _, bake := range bakeTime {
		fraction += bake
		if elapsed < fraction*window {
			break
		}
		stage++
	}
	return stage
}
