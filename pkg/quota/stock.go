package quota

import "time"

// maxBatches is how many batches a stock holds; further tokens join the newest batch with its
// earlier expiry.
const maxBatches = 4

// stock holds the tokens of one account and stripe at a node.
type stock struct {
	batches [maxBatches]batch // by expiry
	count   int               // batches in use
	// period changes with each report that states what the stock holds. A token may be
	// returned in the period in which it was taken only: the coordinator still counts it.
	period uint64
	// answeredAt is the time of the last grant that was asked for tokens. empty means that it
	// has not given all, and nextAt when the next token is expected. exceeded means that the
	// demand exceeds the whole limit.
	answeredAt Time
	empty      bool
	exceeded   bool
	nextAt     Time
	unknown    bool // the coordinator knows no limit of the account
	// asked is the number of tokens wanted by the last report, askedAt the time of it.
	asked   int
	askedAt Time
}

// held returns the number of tokens that are valid.
func (s *stock) held(now Time) int {
	s.expire(now)
	sum := 0
	for _, b := range s.batches[:s.count] {
		sum += b.tokens
	}
	return sum
}

func (s *stock) expire(now Time) {
	kept := 0
	for _, b := range s.batches[:s.count] {
		if b.tokens > 0 && b.expires > now {
			s.batches[kept] = b
			kept++
		}
	}
	s.count = kept
}

func (s *stock) add(tokens int, expires Time) {
	if s.count == maxBatches {
		last := &s.batches[maxBatches-1]
		last.tokens += tokens
		last.expires = min(last.expires, expires)
		return
	}
	s.batches[s.count] = batch{tokens, expires}
	s.count++
}

// token identifies a token of the batch that expires first.
func (s *stock) token(stripe int) Token { return Token{stripe, s.period, s.batches[0].expires} }

// giveBack returns a token to its batch if it was taken in the current period and is valid.
func (s *stock) giveBack(now Time, t Token) bool {
	if t.period != s.period || t.expires <= now {
		return false
	}
	for i := range s.batches[:s.count] {
		if b := &s.batches[i]; b.expires == t.expires {
			b.tokens++
			return true
		}
	}
	return false
}

// expected returns the number of tokens that the next grant may bring within the delay.
func (s *stock) expected(now Time, delay time.Duration) int {
	if now.Sub(s.askedAt) > delay {
		return 0
	}
	return s.asked
}

// drop removes tokens of the batches that expire first.
func (s *stock) drop(tokens int) {
	for i := range s.batches[:s.count] {
		n := min(tokens, s.batches[i].tokens)
		s.batches[i].tokens -= n
		tokens -= n
	}
}

// knownEmpty reports whether the coordinator has said lately that it has no token.
func (s *stock) knownEmpty(now Time, kept time.Duration) bool {
	return s.empty && now.Sub(s.answeredAt) < kept && now < s.nextAt
}
