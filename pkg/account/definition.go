package account

// Definition is an account with its keys, as the operator configures it.
type Definition struct {
	Account
	Keys []string
}
