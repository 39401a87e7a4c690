package admission

import "time"

// Tunables of learned capacity and of the accounts' shares of the queue.
const (
	// slownessDecayTime is the time constant with which the present slowness that a server names
	// ceases to count: machines turn slow and usual again within about 0.6 s.
	slownessDecayTime = 300 * time.Millisecond
	// minSlowness and maxSlowness bound the slowness that a server names.
	minSlowness = 0.5
	maxSlowness = 10.0
	// usualFigureRange is how far the logarithm of a figure is from 0 for it to tell anything of
	// its truth.
	usualFigureRange = 0.1
	// figureTimeWeight is the least weight of a request in the mean times that figures are
	// compared with. It covers several changes of a machine between usual and slow.
	figureTimeWeight = 0.005
	// figureGainWeight is the least weight of one request in the gain of a server's figures, and
	// minFigureGain the gain from which on they count, once minJudgedFigures were other than the
	// usual one. Figures of machines that turn 2.5 times slower gain 0.1 to 0.3, those that never
	// change 0, and random ones less.
	figureGainWeight = 0.05
	minFigureGain    = 0.02
	minJudgedFigures = 6
	// maxUnprovenFigures is the number of such figures after which a server whose figures do not count
	// is taken for one that names false ones.
	maxUnprovenFigures = 30
	// toleratedSlowdown is how many times longer than at low concurrency requests may take without
	// a lower limit. Since the limit rises by itself as well, a server of 6 slots keeps them up to
	// times 1.9 times longer: one whose times double when full still completes most with all slots.
	toleratedSlowdown = 1.6
	// lowConcurrencyPart is the part of the slots up to which concurrency counts as low.
	lowConcurrencyPart = 3
	// lowTimeWeight is the least weight of one request in the times at low concurrency, recentTimeWeight
	// in the recent ones, and limitWeight its weight in the limit: a server of 6 slots completes some 30
	// to 60 requests per second, so the limit follows within about a second.
	lowTimeWeight    = 0.02
	recentTimeWeight = 0.05
	limitWeight      = 0.05
	// staleTimeWeight is the weight of a request at higher concurrency in the times at low
	// concurrency: they approach within about a minute of a busy server.
	staleTimeWeight = 0.0005
	// minLimitRatio bounds the part to which a limit falls at once.
	minLimitRatio = 0.5
	// accountUseTime is the time constant of the recent use of accounts: some exceed their usual
	// demand for 5 to 8 s.
	accountUseTime = 2 * time.Second
	// maxAccountUses bounds the accounts whose use is kept, fadedUse is the use below which an
	// account may be dropped.
	maxAccountUses = 4096
	fadedUse       = time.Millisecond
	// minAccountWeight is the smallest weight of an account, in requests per second.
	minAccountWeight = 1.0
)
