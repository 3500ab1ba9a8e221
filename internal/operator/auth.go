package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"net/netip"
	"strings"

	"github.com/pkg/errors"

	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// loopbackAuthor is the author of requests to a control without operators in its
// settings.
const loopbackAuthor = "loopback"

// Operator is a person or program that may use the API.
type Operator struct {
	Name string
	// TokenHash is the SHA-256 of the bearer token in hex.
	TokenHash string
}

type credential struct {
	name string
	hash [sha256.Size]byte
}

func newCredentials(l []Operator) ([]credential, error) {
	c := make([]credential, 0, len(l))
	for _, o := range l {
		b, err := hex.DecodeString(o.TokenHash)
		if err != nil || len(b) != sha256.Size {
			return nil, errors.Errorf("operator %q: TokenHash is not a SHA-256 in hex", o.Name)
		}
		if o.Name == "" {
			return nil, errors.New("an operator has no Name")
		}
		c = append(c, credential{name: o.Name, hash: [sha256.Size]byte(b)})
	}
	return c, nil
}

// authorize returns the author of r. It uses no header except Authorization,
// because a client could claim any name in another header.
func authorize(l []credential, r *http.Request) (string, error) {
	if len(l) == 0 {
		a, err := netip.ParseAddrPort(r.RemoteAddr)
		if err != nil || !a.Addr().Unmap().IsLoopback() {
			return "", errkind.New(errkind.Unauthorized, "this control has no Operators in its settings and serves only loopback; add an operator, or run the command on the control's VM")
		}
		return loopbackAuthor, nil
	}
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	token = strings.TrimSpace(token)
	if !strings.EqualFold(scheme, "Bearer") || token == "" {
		return "", errkind.New(errkind.Unauthorized, "bearer token missing; pass --token-file FILE")
	}
	got, name := sha256.Sum256([]byte(token)), ""
	// The loop has no early exit, so that its duration does not reveal the position
	// of the operator in the list.
	for _, c := range l {
		if subtle.ConstantTimeCompare(got[:], c.hash[:]) == 1 {
			name = c.name
		}
	}
	if name == "" {
		return "", errkind.New(errkind.Unauthorized, "the bearer token belongs to no operator of this control; compare its SHA-256 with Operators in the control's settings")
	}
	return name, nil
}
