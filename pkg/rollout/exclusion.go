package rollout

import "slices"

// maxExclusions limits how many versions of a service are excluded; the earliest are dropped.
const maxExclusions = 16

// Exclusion is the reason why a version is not among those that serve beside the target of
// an order.
type Exclusion uint8

// Reasons of an exclusion.
const (
	// Rejected versions were rolled back. They get no requests until an order for them
	// is running.
	Rejected Exclusion = iota + 1
	// Superseded versions were the target of an order that another one replaced before its
	// outcome. They serve only if nothing else does.
	Superseded
)

// excludedVersion is a version with the reason of its exclusion.
type excludedVersion struct {
	version string
	reason  Exclusion
}

// exclusions are the excluded versions of one service. They outlive the orders of these
// versions.
type exclusions []excludedVersion

// reason returns why a version is excluded, 0 if it is not.
func (e exclusions) reason(version string) Exclusion {
	for _, x := range e {
		if x.version == version {
			return x.reason
		}
	}
	return 0
}

// with returns a copy with the version excluded; a rejected version stays rejected.
func (e exclusions) with(version string, why Exclusion) exclusions {
	if e.reason(version) == Rejected {
		return e
	}
	out := append(e.without(version), excludedVersion{version, why})
	return out[max(0, len(out)-maxExclusions):]
}

// without returns a copy with the version admitted.
func (e exclusions) without(version string) exclusions {
	return slices.DeleteFunc(slices.Clone(e), func(x excludedVersion) bool { return x.version == version })
}

// settled returns a copy with the consequence of the last state of an order for the version.
func (e exclusions) settled(version string, last State) exclusions {
	switch last {
	case Completed:
		return e.without(version)
	case RolledBack:
		return e.with(version, Rejected)
	default:
		return e.with(version, Superseded)
	}
}

// versions returns the versions that are excluded for the given reason.
func (e exclusions) versions(why Exclusion) []string {
	var out []string
	for _, x := range e {
		if x.reason == why {
			out = append(out, x.version)
		}
	}
	return out
}
