package admission

import (
	"math"
	"time"
)

// accountUse holds how much work of each client account the server recently began, relative to
// the account's weight, so that an account that sends many times its usual demand waits behind the
// others. It takes the time as an argument and is not safe for concurrent use.
type accountUse struct {
	byAccount map[string]recentUse
}

// recentUse is a decayed sum of work.
type recentUse struct {
	work      float64 // seconds, at updatedAt
	updatedAt time.Time
}

func (u recentUse) at(now time.Time) float64 {
	return u.work * math.Exp(-max(now.Sub(u.updatedAt), 0).Seconds()/accountUseTime.Seconds())
}

// add records work of the account. Accounts whose use has faded are dropped when there are too
// many.
func (a *accountUse) add(now time.Time, account string, work time.Duration) {
	if a.byAccount == nil {
		a.byAccount = make(map[string]recentUse)
	}
	use, known := a.byAccount[account]
	if !known && len(a.byAccount) >= maxAccountUses {
		a.dropFaded(now)
		if len(a.byAccount) >= maxAccountUses {
			return
		}
	}
	a.byAccount[account] = recentUse{use.at(now) + work.Seconds(), now}
}

// of returns the recent use of the account, in seconds of work.
func (a *accountUse) of(now time.Time, account string) float64 { return a.byAccount[account].at(now) }

func (a *accountUse) dropFaded(now time.Time) {
	for name, use := range a.byAccount {
		if use.at(now) < fadedUse.Seconds() {
			delete(a.byAccount, name)
		}
	}
}

// turn returns the place of a new job of the account among those of its rank: jobs run in the
// order of their turns. It is the account's recent use with that of its waiting jobs, relative to
// the weight.
func (q *Queue) turn(now time.Time, j *Job) float64 {
	work := q.uses.of(now, j.Account)
	last := 0.0
	for _, w := range q.waiting {
		if w.Account != j.Account {
			continue
		}
		work += w.Cost.Seconds()
		if w.Rank == j.Rank {
			last = w.turn
		}
	}
	// The jobs of one account keep their order when its use fades between them.
	return max(work/max(j.Weight, minAccountWeight), last)
}

// place returns the index at which the job waits: behind all of lower rank and those of its rank
// with an earlier or the same turn. Jobs without an account are those of one account, so that
// without accounts the order is that of arrival.
func (q *Queue) place(now time.Time, j *Job) int {
	j.turn = q.turn(now, j)
	at := q.behindRank(j.Rank)
	for at > 0 && q.waiting[at-1].Rank == j.Rank && q.waiting[at-1].turn > j.turn {
		at--
	}
	return at
}
