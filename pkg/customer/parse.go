// Package customer reads customer files and compiles them to an immutable
// configuration.
//
// # Usage
//
//	c, err := customer.Parse("customer.jsonc", data)
//	if err != nil {
//		return err // kind errkind.InvalidFile; lists every fault with file, line and column
//	}
//	for _, r := range c.Routes() {
//		fmt.Println(r.Name(), r.Service, r.Rank)
//	}
package customer

import (
	"strings"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/jsonc"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// file is the format of a customer file. The limits on lists bound the load that one
// file can cause on each node.
type file struct {
	Customer   string
	Parameters jsonc.Raw     `jsonc:"optional"`
	Services   []fileService `jsonc:"max=10000"`
	Ranks      []fileRank    `jsonc:"max=100"`
	Accounts   []fileAccount `jsonc:"optional,max=10000"`
	Routes     []fileRoute   `jsonc:"max=50000"`
}

type fileService struct {
	Name        string
	Slots       int
	Connections int
	ColdStart   time.Duration `jsonc:"optional"`
}

type fileRank struct {
	Name   string
	Order  int
	Target time.Duration
	Worth  float64
	Floor  float64 `jsonc:"optional"`
}

type fileAccount struct {
	Name string
	// KeyHashes are the SHA-256 digests of the API keys in hex.
	KeyHashes []string `jsonc:"optional,max=16"`
	// Rank replaces the rank of each route for the requests of the account.
	Rank          string  `jsonc:"optional"`
	RatePerSecond float64 `jsonc:"optional"`
	Burst         float64 `jsonc:"optional"`
}

type fileRoute struct {
	Host      string
	Method    string
	Path      string
	Service   string
	Rank      string
	Deadline  time.Duration
	Execution Execution
	// Public routes need no API key.
	Public bool `jsonc:"optional"`
}

// Parse decodes a customer file, expands its parameters, checks and compiles it. The
// name is only used in errors.
func Parse(name string, data []byte) (*Config, error) {
	d := jsonc.Parse(name, data)
	d.SetParameters(parameters(d))
	var f file
	d.Decode(&f)
	check(checker{d}, &f)
	if err := d.Err(); err != nil {
		return nil, errkind.New(errkind.InvalidFile, "%v", err)
	}
	return compile(&f), nil
}

// compile fills the maps directly, because each With method copies all maps.
func compile(f *file) *Config {
	c := NewConfig(f.Customer)
	for _, s := range f.Services {
		c.services[s.Name] = Service(s)
	}
	for _, r := range f.Ranks {
		c.ranks[r.Name] = Rank(r)
	}
	for _, a := range f.Accounts {
		c.accounts[a.Name] = a.compile(f.Ranks)
	}
	for _, r := range f.Routes {
		v := Route{
			Host:   strings.ToLower(r.Host), // host names are case-insensitive
			Method: r.Method, Path: r.Path, Service: r.Service, Rank: r.Rank, Deadline: r.Deadline, Execution: r.Execution,
			KeyRequired: len(f.Accounts) > 0 && !r.Public,
		}
		c.routes[v.Name()] = v
	}
	return c
}

func (a fileAccount) compile(ranks []fileRank) Account {
	v := Account{Name: a.Name, RatePerSecond: a.RatePerSecond, Burst: a.Burst}
	for _, h := range a.KeyHashes {
		k, _ := parseKeyDigest(h) // checked before
		v.Keys = append(v.Keys, k)
	}
	for _, r := range ranks {
		if a.Rank != "" && r.Name != a.Rank {
			v.Ranks = append(v.Ranks, RankOverride{Rank: r.Name, Use: a.Rank})
		}
	}
	return v
}
