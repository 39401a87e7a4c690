package move

// kind is a kind of bad response.
type kind int

const (
	failure kind = iota
	slow
)

var kinds = [...]kind{failure, slow}

func (k kind) String() string {
	if k == slow {
		return "slow"
	}
	return "failure"
}
