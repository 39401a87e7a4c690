package config

import "fmt"

func checkService(l *problemList, s Service) {
	e := serviceScope(l, s.Name)
	checkName(e, "name", s.Name)
	checkVersion(e, "version", s.Version)
	checkRange(e, "limits.slots", s.Limits.Slots, 1, MaxSlots)
	checkRange(e, "limits.connections", s.Limits.Connections, 1, MaxConnections)
	checkRange(e, "limits.queue", s.Limits.Queue, 0, MaxQueue)
	if s.Limits.Connections < s.Limits.Slots {
		e.add("limits.connections", "state at least as many connections as slots",
			"%d connections cannot feed %d slots", s.Limits.Connections, s.Limits.Slots)
	}
	if !(s.Retry.Ratio >= 0 && s.Retry.Ratio <= 1) {
		e.add("retry.ratio", "state a number from 0 to 1", "%g is out of range", s.Retry.Ratio)
	}
	checkRange(e, "retry.cap", s.Retry.Cap, 0, MaxRetryCap)
	checkRange(e, "retry.base_ms", s.Retry.BaseMS, 1, MaxRetryWaitMS)
	checkRange(e, "retry.max_wait_ms", s.Retry.MaxWaitMS, max(1, s.Retry.BaseMS), MaxRetryWaitMS)
	checkRange(e, "timeout_ms", s.TimeoutMS, 1, MaxTimeoutMS)
	checkRange(e, "attempt_timeout_ms", s.AttemptTimeoutMS, 1, max(1, s.TimeoutMS))
	checkRange(e, "slow_ms", s.SlowMS, 1, max(1, s.TimeoutMS))
	if m := s.Move; m != nil {
		checkName(e, "move.id", m.ID)
		checkVersion(e, "move.to", m.To)
		if m.To == s.Version {
			e.add("move.to", "state another version or remove the move", "the move's target is the version that already serves the traffic")
		}
		if m.FinishBy.IsZero() {
			e.add("move.finish_by", "state the time in RFC 3339", "the move has no deadline")
		}
	}
}

func checkRange(e fieldScope, field string, value, least, most int) {
	if value < least || value > most {
		e.add(field, fmt.Sprintf("state a number from %d to %d", least, most), "%d is out of range", value)
	}
}

// checkName accepts lower-case letters, digits and "-_." after a letter or digit, so
// that names are safe in row keys, metric labels and header values.
func checkName(e fieldScope, field, name string) {
	if !ValidName(name) {
		e.add(field, fmt.Sprintf("use 1 to %d lower-case letters, digits, '-', '_' or '.', beginning with a letter or digit", MaxNameBytes),
			"%q is not a valid name", name)
	}
}

// ValidName reports whether s is a valid name or operation id.
func ValidName(s string) bool {
	if s == "" || len(s) > MaxNameBytes {
		return false
	}
	for i := range len(s) {
		switch c := s[i]; {
		case 'a' <= c && c <= 'z', '0' <= c && c <= '9':
		case i > 0 && (c == '-' || c == '_' || c == '.'):
		default:
			return false
		}
	}
	return true
}

func checkVersion(e fieldScope, field, version string) {
	valid := version != "" && len(version) <= MaxVersionBytes
	for i := range len(version) {
		switch c := version[i]; {
		case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		case c == '-' || c == '_' || c == '.' || c == '+':
		default:
			valid = false
		}
	}
	if !valid {
		e.add(field, fmt.Sprintf("use 1 to %d letters, digits, '-', '_', '.' or '+'", MaxVersionBytes), "%q is not a valid version", version)
	}
}
