package sidecar

import (
	"sync/atomic"

	"corianderwood.example/corianderwood/pkg/account"
	"corianderwood.example/corianderwood/pkg/routing"
)

// accountWeights returns the shares of client accounts when capacity is short: the rates of their
// limits. It is safe for concurrent use.
type accountWeights struct {
	table func() *routing.Table
	mean  atomic.Pointer[meanWeight]
}

// meanWeight is the mean rate of the limited accounts of a directory.
type meanWeight struct {
	of   *account.Directory
	rate float64
}

// weight returns the weight of the account. Accounts without a limit, unknown ones and requests
// without an account have the mean weight.
func (w *accountWeights) weight(name string) float64 {
	table := w.table()
	if table == nil || table.Accounts == nil {
		return 1
	}
	if a, ok := table.Accounts.ByName(name); ok && a.Limited() {
		return a.RatePerSecond
	}
	mean := w.mean.Load()
	if mean == nil || mean.of != table.Accounts {
		mean = &meanWeight{table.Accounts, meanRate(table.Accounts.Limited())}
		w.mean.Store(mean)
	}
	return mean.rate
}

func meanRate(limited []*account.Account) float64 {
	if len(limited) == 0 {
		return 1
	}
	sum := 0.0
	for _, a := range limited {
		sum += a.RatePerSecond
	}
	return sum / float64(len(limited))
}
