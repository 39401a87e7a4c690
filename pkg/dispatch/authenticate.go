package dispatch

import (
	"strings"

	"corianderwood.example/corianderwood/pkg/account"
	"corianderwood.example/corianderwood/pkg/reason"
)

// authorizationHeader carries the key of an account.
const authorizationHeader = "Authorization"

// bearerScheme is the authentication scheme of keys (RFC 6750). Schemes are not case-sensitive.
const bearerScheme = "Bearer"

// credentials is the input of authenticate.
type credentials struct {
	// accounts are those of the table in force; nil if it has none.
	accounts *account.Directory
	// public means that the route needs no key.
	public bool
	// nested means that the local server sent the request while it was running another one,
	// nestedID that the request's id has the form of such a request.
	nested, nestedID bool
	// fresh means that accounts is current enough to accept a key.
	fresh bool
	// authorization holds the values of the Authorization header fields.
	authorization []string
}

// authentication is the result of authenticate.
type authentication struct {
	// account is the account of the request; nil without one.
	account *account.Account
	// refusal is the reason to refuse the request; empty if it is accepted.
	refusal reason.Refusal
	// fault tells why a request is unauthenticated.
	fault keyFault
}

// keyFault is what is wrong with the key of a request. The values are logged.
type keyFault string

// Faults of keys.
const (
	keyMissing   keyFault = "missing"
	keyRepeated  keyFault = "repeated"
	keyEmpty     keyFault = "empty"
	keyScheme    keyFault = "scheme"
	keyOversized keyFault = "oversized"
	keyMalformed keyFault = "malformed"
	keyUnknown   keyFault = "unknown"
)

// authenticate decides whether a request is accepted and which account it has. A header field
// that is present counts for nested requests too: their senders set none, and a client could
// choose an id that looks nested.
func authenticate(c credentials) authentication {
	if c.accounts == nil {
		return authentication{}
	}
	key, fault := bearerKey(c.authorization)
	var a *account.Account
	if fault == "" && c.fresh {
		a, _ = c.accounts.ByKey(key)
	}
	return c.decide(a, fault)
}

// decide is authenticate without the look-up of the key: a is the account of a key without a fault, nil
// if there is none.
func (c *credentials) decide(a *account.Account, fault keyFault) authentication {
	switch {
	case fault == keyMissing && (c.public || c.nested):
		return authentication{}
	case fault == keyMissing && c.nestedID:
		// After a restart of the node the server may still be running the parent.
		return authentication{refusal: reason.ParentUnknown}
	case fault == "" && !c.fresh && !c.public:
		return authentication{refusal: reason.StaleConfig}
	case fault == "" && c.fresh:
		if a != nil {
			return authentication{account: a}
		}
		fault = keyUnknown
	}
	if c.public {
		return authentication{}
	}
	return authentication{refusal: reason.Unauthenticated, fault: fault}
}

// bearerKey returns the key in the values of the Authorization header fields, or what is wrong
// with them.
func bearerKey(values []string) (string, keyFault) {
	switch len(values) {
	case 0:
		return "", keyMissing
	case 1:
	default:
		return "", keyRepeated
	}
	value := values[0]
	if value == "" {
		return "", keyEmpty
	}
	scheme, key, _ := strings.Cut(value, " ")
	if !strings.EqualFold(scheme, bearerScheme) {
		return "", keyScheme
	}
	key = strings.TrimLeft(key, " ")
	switch {
	case key == "":
		return "", keyEmpty
	case len(key) > maxKeyBytes:
		return "", keyOversized
	case !validKey(key):
		return "", keyMalformed
	}
	return key, ""
}

// validKey reports whether the key is free of white space and control characters.
func validKey(key string) bool {
	for i := range len(key) {
		if key[i] <= ' ' || key[i] == 0x7f {
			return false
		}
	}
	return true
}
