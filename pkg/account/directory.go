package account

import (
	"crypto/sha256"
	"math"

	"github.com/samber/oops"
)

// Directory finds accounts by key and by name. It is immutable and safe for concurrent use.
type Directory struct {
	// byKey is indexed by digest, so that the time of a lookup tells nothing about the keys.
	byKey  map[[sha256.Size]byte]*Account
	byName map[string]*Account
}

// NewDirectory checks the definitions and builds their directory. An error names the account,
// never a key.
func NewDirectory(definitions []Definition) (*Directory, error) {
	d := &Directory{byKey: make(map[[sha256.Size]byte]*Account), byName: make(map[string]*Account, len(definitions))}
	for _, def := range definitions {
		if err := d.add(def); err != nil {
			return nil, err
		}
	}
	return d, nil
}

func (d *Directory) add(def Definition) error {
	a := def.Account
	fail := oops.In("accounts")
	switch {
	case !validName(a.Name):
		return fail.Hint("give each account a name of visible ASCII characters").Errorf("account %q has no valid name", a.Name)
	case d.byName[a.Name] != nil:
		return fail.Hint("merge the two accounts or rename one").Errorf("two accounts have the name %q", a.Name)
	case a.HasPriority && a.Priority < 0:
		return fail.Hint("use 0 for the most urgent requests").Errorf("account %q has a negative priority", a.Name)
	case !validLimit(a.RatePerSecond) || !validLimit(a.Burst):
		return fail.Hint("use a finite number of at least 0; a rate of 0 means no limit").Errorf("account %q has an invalid rate or burst", a.Name)
	}
	for _, key := range def.Keys {
		if key == "" {
			return fail.Hint("remove the empty key").Errorf("account %q has an empty key", a.Name)
		}
		digest := sha256.Sum256([]byte(key))
		if other, ok := d.byKey[digest]; ok && other.Name != a.Name {
			return fail.Hint("remove the key from one of the accounts").Errorf("accounts %q and %q have a key in common", other.Name, a.Name)
		}
		d.byKey[digest] = &a
	}
	d.byName[a.Name] = &a
	return nil
}

// validName reports whether a name can be sent in a header field.
func validName(name string) bool {
	for _, c := range []byte(name) {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return name != ""
}

func validLimit(v float64) bool { return v >= 0 && !math.IsInf(v, 1) }

// ByKey returns the account that holds the key.
func (d *Directory) ByKey(key string) (*Account, bool) {
	a, ok := d.byKey[sha256.Sum256([]byte(key))]
	return a, ok
}

// ByName returns the account with the name.
func (d *Directory) ByName(name string) (*Account, bool) {
	a, ok := d.byName[name]
	return a, ok
}

// Len returns the number of accounts.
func (d *Directory) Len() int { return len(d.byName) }

// All returns the accounts in no particular order.
func (d *Directory) All() []*Account {
	out := make([]*Account, 0, len(d.byName))
	for _, a := range d.byName {
		out = append(out, a)
	}
	return out
}

// Limited returns the accounts that have a limit of requests, in no particular order.
func (d *Directory) Limited() []*Account {
	var out []*Account
	for _, a := range d.byName {
		if a.Limited() {
			out = append(out, a)
		}
	}
	return out
}
