package ledger

import "time"

// expiry groups call ids by the first second at whose start their entries have expired.
// The ledger's mutex guards it.
type expiry struct {
	bySecond      map[int64][]CallID
	returnedUntil int64 // last second whose ids were returned by takeDue; 0 before the first call
}

func newExpiry() expiry { return expiry{bySecond: make(map[int64][]CallID)} }

func (x *expiry) add(id CallID, at time.Time) {
	second := at.Unix() + 1
	if second <= x.returnedUntil {
		second = x.returnedUntil + 1
	}
	x.bySecond[second] = append(x.bySecond[second], id)
}

// takeDue removes and returns the ids whose second has passed.
func (x *expiry) takeDue(now time.Time) []CallID {
	second := now.Unix()
	if second <= x.returnedUntil {
		return nil
	}
	var due []CallID
	for at, ids := range x.bySecond {
		if at <= second {
			due = append(due, ids...)
			delete(x.bySecond, at)
		}
	}
	x.returnedUntil = second
	return due
}
