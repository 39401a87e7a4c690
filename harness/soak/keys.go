package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"corianderwood.example/corianderwood/platform/storetest"
)

// keyMark is part of each key, so that keys are found in logs.
const keyMark = "soak-secret"

// Keys. All configurations have baseKey and scarceKey, none has unknownKey.
const (
	baseKey    = keyMark + "-base"
	scarceKey  = keyMark + "-scarce"
	unknownKey = keyMark + "-unknown"
)

// Names of the accounts.
const (
	steadyAccount = "steady" // has no limit
	scarceAccount = "scarce"
)

// versionKey returns the key that a version of the configuration adds. It is valid in this version
// and the next, and revoked by the one after that.
func versionKey(version int) string { return fmt.Sprintf("%s-%06d", keyMark, version) }

// keysOf returns the keys of the account without a limit in a version of the configuration.
func keysOf(version int) []string {
	return []string{baseKey, versionKey(version), versionKey(version - 1)}
}

// accountsOf returns the accounts of a version of the configuration.
func accountsOf(version int) []storetest.Account {
	return []storetest.Account{
		{Name: steadyAccount, Keys: keysOf(version)},
		{Name: scarceAccount, Keys: []string{scarceKey}, RatePerSecond: scarcePerS, Burst: scarceBurst},
	}
}

// accountOf returns the account of a key; a request without a key has none.
func accountOf(key string) string {
	switch key {
	case "", unknownKey:
		return ""
	case scarceKey:
		return scarceAccount
	default:
		return steadyAccount
	}
}

// drawKey returns no key, an unknown one, or one of the latest versions. About ten versions are
// published in the time for which a node may be isolated, which uses the keys of the first of them.
func drawKey(newest int) string {
	const (
		latest = 3
		older  = 10
	)
	switch rand.IntN(8) {
	case 0:
		return unknownKey
	case 1:
		return ""
	case 2, 3, 4:
		return versionKey(max(1, newest-rand.IntN(latest)))
	default:
		return versionKey(max(1, newest-latest-rand.IntN(older)))
	}
}

// keyState is what the confirmed configurations say of a key.
type keyState struct {
	validFrom time.Time // confirmation of the configuration that added the key; zero if there is none
	revokedAt time.Time // confirmation of the configuration that revoked the key; zero if there is none
	revoking  bool      // a configuration without the key is being written, or was
}

// OnPublishing records that a configuration with the given keys of the steady account is about to be
// written. Nodes may apply it before it is confirmed.
func (c *Checker) OnPublishing(keys []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, k := range c.keys {
		k.revoking = !slices.Contains(keys, key)
	}
}

// OnPublished records the confirmation of a configuration with the given keys.
func (c *Checker) OnPublished(keys []string, confirmed time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, key := range keys {
		k, ok := c.keys[key]
		if !ok {
			k = &keyState{}
			c.keys[key] = k
		}
		if k.validFrom.IsZero() {
			k.validFrom = confirmed
		}
	}
	for _, k := range c.keys {
		if k.revoking && k.revokedAt.IsZero() {
			k.revokedAt = confirmed
		}
	}
}

// OnRestored records that the store was restored to a configuration with the given keys. Keys that it
// lacks are not required to be valid until they are written again: a node may never have seen them.
// A revoked key stays revoked, unless no process is left that knew of it (forgotten).
func (c *Checker) OnRestored(keys []string, forgotten bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, k := range c.keys {
		if !slices.Contains(keys, key) {
			k.validFrom = time.Time{}
		} else if forgotten {
			k.revokedAt = time.Time{}
		}
	}
}

// OnUnauthorized records that a request was refused because of its key. calmSince is the time since
// which the node and its ways to the store and to its peers have not been disturbed; calm is false
// if they are disturbed now. OnSent must have been called with the id.
//
// A node that is disturbed may use the configuration before, but with strictRevoke not longer than
// the revoke bound: after that it answers 503 to requests with a key.
func (c *Checker) OnUnauthorized(id, node string, calmSince time.Time, calm bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[id]
	if r.public {
		c.addViolation("request %s got status 401 of %s on a public route", id, node)
		return
	}
	k, ok := c.keys[r.key]
	switch {
	case r.key == scarceKey:
		c.addViolation("request %s got status 401 of %s with a key of all configurations", id, node)
	case !ok || k.revoking || k.validFrom.IsZero():
	case r.sent.After(k.validFrom.Add(revoke)):
		c.addViolation("request %s got status 401 of %s, %v after the confirmation of its key %s", id, node, r.sent.Sub(k.validFrom), r.key)
	case calm && r.sent.After(k.validFrom.Add(configApply)) && r.sent.After(calmSince.Add(configApply)):
		c.addViolation("request %s got status 401 of %s, %v after the confirmation of its key %s, without a disturbance for %v",
			id, node, r.sent.Sub(k.validFrom), r.key, r.sent.Sub(calmSince))
	}
}

// checkKey checks that the key of a request that a server gets is valid, or was valid not longer ago
// than the bound when the client sent the request. The caller holds mu.
func (c *Checker) checkKey(id string, r *requestState, server string) {
	if r.public || r.key == scarceKey {
		return
	}
	k, ok := c.keys[r.key]
	switch {
	case r.key == "" || r.key == unknownKey:
		c.addViolation("request %s reached %s without a valid key", id, server)
	case ok && !k.revokedAt.IsZero() && r.sent.After(k.revokedAt.Add(revoke)):
		c.addViolation("request %s reached %s although it was sent %v after the revocation of its key %s", id, server, r.sent.Sub(k.revokedAt), r.key)
	}
}
