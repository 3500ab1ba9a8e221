package customer

import (
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/jsonc"
)

const (
	// maxCount bounds Slots and Connections, which determine the size of tables on the
	// nodes.
	maxCount = 1_000_000
	// maxWorth is small enough that the sum of worth over all requests stays exact.
	maxWorth = 1_000_000
	// maxRate bounds the limit of an account, in requests per second and in requests.
	maxRate = 1e9
	// floorSlack tolerates rounding errors in the sum of decimal shares.
	floorSlack = 1e-9
)

var (
	namePattern = regexp.MustCompile(`^[A-Za-z0-9.-]{1,100}$`)
	// pathPattern excludes characters that the path of a request cannot contain.
	pathPattern = regexp.MustCompile(`^/[^?#\x00-\x1f\x7f]*$`)
	executions  = []string{string(Idempotent), string(AtMostOnce), string(Once)}
	// methods excludes CONNECT and TRACE, which a proxy answers itself.
	methods = []string{
		http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
		http.MethodPatch, http.MethodDelete, http.MethodOptions,
	}
)

// checker checks decoded values and adds the faults that it finds to the document.
type checker struct{ d *jsonc.Document }

func check(c checker, f *file) {
	c.name("Customer", f.Customer)
	services := c.services(f.Services)
	ranks := c.ranks(f.Ranks)
	c.accounts(f.Accounts, ranks)
	matches := map[string]bool{}
	for i, r := range f.Routes {
		c.route(jsonc.Index("Routes", i), r, services, ranks, matches)
	}
}

// services checks the services and returns their names, or nil if the file has
// no list of services.
func (c checker) services(l []fileService) map[string]bool {
	if l == nil {
		return nil
	}
	names := map[string]bool{}
	for i, s := range l {
		p := jsonc.Index("Services", i)
		c.unique(jsonc.Path(p, "Name"), s.Name, names)
		c.count(jsonc.Path(p, "Slots"), s.Slots, maxCount)
		c.count(jsonc.Path(p, "Connections"), s.Connections, maxCount)
		if p = jsonc.Path(p, "ColdStart"); c.d.Valid(p) && s.ColdStart < 0 {
			c.outOfRange(p, s.ColdStart, "a duration of at least 0s")
		}
	}
	return names
}

// ranks checks the ranks and returns their names, or nil if the file has no
// list of ranks.
func (c checker) ranks(l []fileRank) map[string]bool {
	if l == nil {
		return nil
	}
	names, orders := map[string]bool{}, map[int]bool{}
	sum := 0.0
	if len(l) == 0 {
		c.d.Fault("Ranks", "empty", "at least one rank")
	}
	for i, r := range l {
		p := jsonc.Index("Ranks", i)
		c.unique(jsonc.Path(p, "Name"), r.Name, names)
		if o := jsonc.Path(p, "Order"); c.count(o, r.Order, len(l)) {
			if orders[r.Order] {
				c.d.Fault(o, fmt.Sprintf("duplicate order %d", r.Order), "unique orders")
			}
			orders[r.Order] = true
		}
		c.positive(jsonc.Path(p, "Target"), r.Target)
		if w := jsonc.Path(p, "Worth"); c.d.Valid(w) && (r.Worth < 0 || r.Worth > maxWorth) {
			c.outOfRange(w, r.Worth, fmt.Sprintf("a number from 0 to %d", maxWorth))
		}
		sum = c.floor(jsonc.Path(p, "Floor"), r.Floor, sum)
	}
	return names
}

// floor checks one floor and returns the sum of the floors so far. A sum above 1 is
// reported at the rank that exceeds it.
func (c checker) floor(path string, v, sum float64) float64 {
	switch {
	case !c.d.Valid(path):
		return sum
	case v < 0 || v > 1:
		c.outOfRange(path, v, "a number from 0 to 1")
		return sum
	case sum <= 1+floorSlack && sum+v > 1+floorSlack:
		c.d.Fault(path, fmt.Sprintf("the floors add up to %.4g", sum+v), "a sum of at most 1")
	}
	return sum + v
}

// accounts checks the accounts. Each key belongs to one account.
func (c checker) accounts(l []fileAccount, ranks map[string]bool) {
	names, keys := map[string]bool{}, map[KeyDigest]bool{}
	for i, a := range l {
		p := jsonc.Index("Accounts", i)
		c.unique(jsonc.Path(p, "Name"), a.Name, names)
		if a.Rank != "" {
			c.reference(jsonc.Path(p, "Rank"), "rank", a.Rank, ranks)
		}
		for j, h := range a.KeyHashes {
			k, ok := parseKeyDigest(h)
			q := jsonc.Index(jsonc.Path(p, "KeyHashes"), j)
			switch {
			case !ok: // the value may be a key, so it is not shown
				c.d.Fault(q, "not a SHA-256 hash", "64 hex digits")
			case keys[k]:
				c.d.Fault(q, "duplicate key", "each key once")
			}
			keys[k] = true
		}
		c.rate(jsonc.Path(p, "RatePerSecond"), a.RatePerSecond)
		c.rate(jsonc.Path(p, "Burst"), a.Burst)
	}
}

func (c checker) rate(path string, v float64) {
	if c.d.Valid(path) && !(v >= 0 && v <= maxRate) {
		c.outOfRange(path, v, "a number from 0 to 1000000000")
	}
}

func (c checker) route(p string, r fileRoute, services, ranks, matches map[string]bool) {
	host, method, path := jsonc.Path(p, "Host"), jsonc.Path(p, "Method"), jsonc.Path(p, "Path")
	ok := c.host(host, r.Host)
	ok = c.oneOf(method, "method", r.Method, methods) && ok
	if c.d.Valid(path) && !pathPattern.MatchString(r.Path) {
		c.d.Fault(path, "bad path "+jsonc.Quote(r.Path), `a path that starts with "/", without a query`)
	}
	if m := r.Method + " " + strings.ToLower(r.Host) + r.Path; ok && c.d.Valid(path) {
		if matches[m] {
			c.d.Fault(p, "duplicate match "+jsonc.Quote(m), "each host, method and path once")
		}
		matches[m] = true
	}
	c.reference(jsonc.Path(p, "Service"), "service", r.Service, services)
	c.reference(jsonc.Path(p, "Rank"), "rank", r.Rank, ranks)
	c.positive(jsonc.Path(p, "Deadline"), r.Deadline)
	c.oneOf(jsonc.Path(p, "Execution"), "execution", string(r.Execution), executions)
}

func (c checker) host(path, v string) bool {
	if !c.d.Valid(path) {
		return false
	}
	if !namePattern.MatchString(v) {
		c.d.Fault(path, "bad host "+jsonc.Quote(v), "1 to 100 letters, digits, dots and dashes, without a port")
		return false
	}
	return true
}

// name reports whether the value at path is a valid name.
func (c checker) name(path, v string) bool {
	if !c.d.Valid(path) {
		return false
	}
	if !namePattern.MatchString(v) {
		c.d.Fault(path, "bad name "+jsonc.Quote(v), "1 to 100 letters, digits, dots and dashes")
		return false
	}
	return true
}

// unique checks the name at path and adds it to seen. It adds a bad name as well, so
// that references to it cause no further faults.
func (c checker) unique(path, v string, seen map[string]bool) {
	if c.name(path, v) && seen[v] {
		c.d.Fault(path, "duplicate name "+jsonc.Quote(v), "unique names")
	}
	seen[v] = true
}

// reference checks that the name at path is one of names. If names is nil, the file
// lacks the list of names, which is reported as a fault of its own.
func (c checker) reference(path, what, v string, names map[string]bool) {
	if c.d.Valid(path) && names != nil && !names[v] {
		c.d.Fault(path, "unknown "+what+" "+jsonc.Quote(v), "the name of a "+what+" in this file")
	}
}

func (c checker) oneOf(path, what, v string, words []string) bool {
	if !c.d.Valid(path) {
		return false
	}
	if !slices.Contains(words, v) {
		c.d.Fault(path, "unknown "+what+" "+jsonc.Quote(v), jsonc.OneOf(quoted(words)))
		return false
	}
	return true
}

func (c checker) count(path string, v, most int) bool {
	if !c.d.Valid(path) {
		return false
	}
	if v < 1 || v > most {
		c.outOfRange(path, v, fmt.Sprintf("a whole number from 1 to %d", most))
		return false
	}
	return true
}

func (c checker) positive(path string, v time.Duration) {
	if c.d.Valid(path) && v <= 0 {
		c.outOfRange(path, v, "a duration above 0s")
	}
}

func (c checker) outOfRange(path string, v any, expected string) {
	c.d.Fault(path, fmt.Sprintf("%v is out of range", v), expected)
}
