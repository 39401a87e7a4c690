package move

import "time"

// Share returns the fraction of calls, in [0, 1], that the new version gets. It is
// the higher of the schedule and the marked stage, and 0 once the move is taken
// back or withdrawn. An outcome record overrides it (see Shares).
func Share(p Plan, m State, now time.Time) float64 {
	if p.Withdraw || m.RolledBack {
		return 0
	}
	return steps[Stage(p, m, now)]
}

// Stage returns the index of the step that the move has reached: the higher of the
// schedule and the marks. It ignores a take-back.
func Stage(p Plan, m State, now time.Time) uint8 {
	if m.Done {
		return fullStage
	}
	return max(min(m.Stage, fullStage), scheduled(p, now))
}

// scheduled returns the stage that the plan reaches by now at the latest.
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
	for i, fraction := range latestAt {
		if elapsed >= fraction*window {
			stage = uint8(i)
		}
	}
	return stage
}

// StageWithoutHold returns the stage that a move without suspicious evidence is raised to
// by now: the sum of the bake times of the steps before it has passed.
func StageWithoutHold(p Plan, now time.Time) uint8 {
	window := float64(p.window())
	if window == 0 {
		return 0
	}
	elapsed := float64(now.Sub(p.AcceptedAt))
	stage, fraction := uint8(0), 0.0
	for _, bake := range bakeFor {
		fraction += bake
		if elapsed < fraction*window {
			break
		}
		stage++
	}
	return stage
}
