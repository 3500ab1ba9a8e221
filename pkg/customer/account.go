package customer

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/pkg/errors"
)

// KeyDigest is the SHA-256 digest of an API key. Nodes hold digests only, so that a key
// cannot be read from their memory or their messages.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of an API key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// parseKeyDigest parses a digest in hex and reports whether it is valid.
func parseKeyDigest(s string) (d KeyDigest, ok bool) {
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != len(d) {
		return d, false
	}
	return KeyDigest(b), true
}

// String returns the first digits of d, enough to tell keys apart in a report.
func (d KeyDigest) String() string { return hex.EncodeToString(d[:4]) }

// Account is a sender of requests that identifies itself with an API key.
type Account struct {
	Name string `cbor:"1,keyasint"`
	// Keys are the digests of the account's API keys. An account without keys can send
	// no requests.
	Keys []KeyDigest `cbor:"2,keyasint,omitempty"`
	// Ranks replaces the ranks of routes for the requests of the account.
	Ranks []RankOverride `cbor:"3,keyasint,omitempty"`
	// RatePerSecond and Burst limit the requests of the account over all nodes. A rate
	// of zero means no limit.
	RatePerSecond float64 `cbor:"4,keyasint,omitempty"`
	Burst         float64 `cbor:"5,keyasint,omitempty"`
}

// RankOverride replaces the rank Rank of a route by the rank Use.
type RankOverride struct {
	Rank string `cbor:"1,keyasint"`
	Use  string `cbor:"2,keyasint"`
}

// checkAccounts returns an error for the first account that refers to a missing rank or
// holds the key of another account.
func (c *Config) checkAccounts() error {
	holders := map[KeyDigest]string{}
	for _, a := range c.Accounts() {
		for _, o := range a.Ranks {
			for _, n := range []string{o.Rank, o.Use} {
				if _, ok := c.ranks[n]; !ok {
					return errors.Errorf("account %q needs rank %q, which customer %q lacks", a.Name, n, c.customer)
				}
			}
		}
		for _, k := range a.Keys {
			if h, ok := holders[k]; ok && h != a.Name {
				return errors.Errorf("accounts %q and %q have the same key", h, a.Name)
			}
			holders[k] = a.Name
		}
	}
	return nil
}
