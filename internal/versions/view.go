package versions

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/gooseberrypick/gooseberrypick/pkg/customer"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// Metadata describes one accepted version.
type Metadata struct {
	Version   uint64    `cbor:"1,keyasint"`
	Customer  string    `cbor:"2,keyasint"`
	Author    string    `cbor:"3,keyasint"`
	Time      time.Time `cbor:"4,keyasint"`
	Base      uint64    `cbor:"5,keyasint"`
	RequestID string    `cbor:"6,keyasint"`
	FileName  string    `cbor:"7,keyasint"`
	// Digest is the digest over all customers at this version.
	Digest   uint64 `cbor:"8,keyasint"`
	Services int    `cbor:"9,keyasint"`
	Ranks    int    `cbor:"10,keyasint"`
	Routes   int    `cbor:"11,keyasint"`
	// Number is the operator's own number of the version, zero without one.
	Number uint64 `cbor:"12,keyasint,omitempty"`
}

// Entry is one version in the history.
type Entry struct {
	Metadata
	// File is the content of the customer file, if FileKept is set.
	File     []byte
	FileKept bool
}

// record is the stored form of an Entry. Records are immutable.
type record struct {
	Metadata Metadata         `cbor:"1,keyasint"`
	File     []byte           `cbor:"2,keyasint,omitempty"`
	FileKept bool             `cbor:"3,keyasint,omitempty"`
	Change   *customer.Change `cbor:"4,keyasint,omitempty"`
}

func (r *record) entry() Entry {
	return Entry{Metadata: r.Metadata, File: slices.Clone(r.File), FileKept: r.FileKept}
}

// changeBytes returns the approximate size of the record's change.
func (r *record) changeBytes() int {
	if r.Change == nil {
		return 0
	}
	n := 0
	for _, l := range [][]customer.Resource{r.Change.Upsert, r.Change.Remove} {
		for _, c := range l {
			n += len(c.Name) + len(c.Data)
		}
	}
	return n
}

// View holds the configurations and the history at one version. It is immutable.
type View struct {
	version uint64
	digest  uint64
	configs map[string]*customer.Config
	// resources caches the encoded resources of each customer, so that they are
	// not encoded again for each of the many nodes that need the full
	// configuration at the same time.
	resources map[string][]customer.Resource
	newest    map[string]*record
	history   []*record // oldest first
	// resumable is the oldest version that ChangeFrom can start from.
	resumable  uint64
	superseded chan struct{}
}

func newView() *View {
	return &View{
		configs:    map[string]*customer.Config{},
		resources:  map[string][]customer.Resource{},
		newest:     map[string]*record{},
		resumable:  1,
		superseded: make(chan struct{}),
	}
}

// Version returns the number of the newest version, zero if there is none.
func (v *View) Version() uint64 { return v.version }

// Digest returns the digest over all customers, as the function Digest computes it.
func (v *View) Digest() uint64 { return v.digest }

// Config returns the configuration of the named customer.
func (v *View) Config(name string) (*customer.Config, bool) { c, ok := v.configs[name]; return c, ok }

// Configs returns the configurations of all customers by name.
func (v *View) Configs() map[string]*customer.Config { return maps.Clone(v.configs) }

// Superseded returns a channel that is closed when a newer version exists.
func (v *View) Superseded() <-chan struct{} { return v.superseded }

// History returns the metadata of the kept versions, newest first.
func (v *View) History() []Metadata {
	l := make([]Metadata, 0, len(v.history))
	for _, r := range slices.Backward(v.history) {
		l = append(l, r.Metadata)
	}
	return l
}

// Entry returns the given version, if it is still stored.
func (v *View) Entry(version uint64) (Entry, bool) {
	// The newest version of a customer keeps its file longer than the history does.
	for _, r := range v.newest {
		if r.Metadata.Version == version {
			return r.entry(), true
		}
	}
	for _, r := range v.history {
		if r.Metadata.Version == version {
			return r.entry(), true
		}
	}
	return Entry{}, false
}

// Newest returns the newest version of the named customer.
func (v *View) Newest(name string) (Entry, bool) {
	r, ok := v.newest[name]
	if !ok {
		return Entry{}, false
	}
	return r.entry(), true
}

// checkBase returns an error if an accept for the named customer with the given base
// cannot succeed on v. It is not exported because it must run after the lookup of
// the request ID: otherwise a resend would conflict with the version that the first
// attempt created.
func (v *View) checkBase(name string, base uint64) error {
	if base > v.version {
		return errkind.New(errkind.BadRequest, "base %d is above the latest version %d; run plan to get the base", base, v.version)
	}
	r, ok := v.newest[name]
	if !ok || r.Metadata.Version <= base {
		return nil
	}
	m := r.Metadata
	return errkind.New(errkind.Conflict, "customer %q changed after base %d: version %d was accepted by %s at %s; run plan again and review the change",
		name, base, m.Version, m.Author, m.Time.UTC().Format(time.RFC3339))
}

// check returns an error if a cannot succeed on v.
func (v *View) check(a Accept) error {
	if a.Number > 0 {
		return v.checkNumber(a)
	}
	return v.checkBase(a.Customer, a.Base)
}

// checkNumber returns an error if an accept with the operator's own version numbers
// cannot succeed on v: its base must be the number in force, and its number higher.
func (v *View) checkNumber(a Accept) error {
	current := uint64(0)
	if r, ok := v.newest[a.Customer]; ok {
		current = r.Metadata.Number
	}
	if a.BaseNumber != current {
		return errkind.New(errkind.Conflict, "version %d builds on version %d, but version %d is current", a.Number, a.BaseNumber, current)
	}
	if a.Number <= current {
		return errkind.New(errkind.Conflict, "version %d is not above the current version %d", a.Number, current)
	}
	return nil
}

// ChangeFrom returns the changes between the given version and v, one per customer,
// sorted by name. It returns false if the version is zero, no longer known, or
// above v. In the first two cases the node needs FullChanges. In the last case the
// node is ahead of this member and must not get an update from it.
func (v *View) ChangeFrom(version uint64) ([]customer.Change, bool) {
	if version == 0 || version > v.version || version < v.resumable {
		return nil, false
	}
	since := v.history[uint64(len(v.history))-(v.version-version):]
	merged := map[string][]customer.Change{}
	for _, r := range since {
		merged[r.Change.Customer] = append(merged[r.Change.Customer], *r.Change)
	}
	l := make([]customer.Change, 0, len(merged))
	for _, k := range slices.Sorted(maps.Keys(merged)) {
		l = append(l, mergeChanges(k, merged[k]))
	}
	return l, true
}

// FullChanges returns the whole configuration as changes to an empty one, one per
// customer, sorted by name.
func (v *View) FullChanges() []customer.Change {
	l := make([]customer.Change, 0, len(v.resources))
	for _, k := range slices.Sorted(maps.Keys(v.resources)) {
		l = append(l, customer.Change{Customer: k, Upsert: v.resources[k]})
	}
	return l
}

// withAccept returns the view after a, whose configuration is c.
func (v *View) withAccept(a Accept, c *customer.Config) *View {
	old := v.configs[a.Customer]
	d := customer.Diff(old, c)
	n := &View{
		version:    v.version + 1,
		digest:     v.digest ^ CustomerDigest(old) ^ CustomerDigest(c),
		configs:    maps.Clone(v.configs),
		resources:  maps.Clone(v.resources),
		newest:     maps.Clone(v.newest),
		superseded: make(chan struct{}),
	}
	r := &record{
		Metadata: Metadata{
			Version: n.version, Customer: a.Customer, Author: a.Author, Time: a.Time.UTC(), Base: a.Base,
			RequestID: a.RequestID, FileName: a.FileName, Digest: n.digest,
			Number: a.Number, Services: len(c.Services()), Ranks: len(c.Ranks()), Routes: len(c.Routes()),
		},
		File: a.File, FileKept: true, Change: &d,
	}
	n.configs[a.Customer], n.resources[a.Customer], n.newest[a.Customer] = c, c.Resources(), r
	n.history = trimHistory(append(slices.Clone(v.history), r))
	n.resumable = oldestResumable(n.history)
	return n
}

// trimHistory drops the oldest versions, files and changes that exceed the limits.
// Of the versions with a Number, which are whole configurations, only the newest
// keeps its file, so that snapshots stay small. trimHistory replaces records in h and
// does not modify them, as other views share them. They must not share h itself.
func trimHistory(h []*record) []*record {
	if len(h) > maxHistory {
		h = h[len(h)-maxHistory:]
	}
	bytes := 0
	for i, r := range slices.Backward(h) {
		bytes += r.changeBytes()
		dropFile := r.FileKept && i < len(h)-maxHistoryFiles || r.FileKept && r.Metadata.Number > 0 && i < len(h)-1
		dropChange := r.Change != nil && bytes > maxChangeBytes
		if !dropFile && !dropChange {
			continue
		}
		c := *r
		if dropFile {
			c.File, c.FileKept = nil, false
		}
		if dropChange {
			c.Change = nil
		}
		h[i] = &c
	}
	return h
}

// oldestResumable returns the oldest version from which the kept changes lead to the
// newest version without a gap.
func oldestResumable(h []*record) uint64 {
	first := uint64(1)
	for _, r := range slices.Backward(h) {
		first = r.Metadata.Version
		if r.Change == nil {
			return first
		}
	}
	return max(1, first-1)
}

// mergeChanges combines successive changes of one customer; the last change of each
// resource wins. Services, ranks and accounts are added before the routes that refer to
// them and removed after them.
func mergeChanges(name string, l []customer.Change) customer.Change {
	if len(l) == 1 {
		return l[0]
	}
	type key struct {
		kind customer.ResourceKind
		name string
	}
	last := map[key]int{}
	for i, d := range l {
		for _, r := range d.Upsert {
			last[key{r.Kind, r.Name}] = i
		}
		for _, r := range d.Remove {
			last[key{r.Kind, r.Name}] = i
		}
	}
	m := customer.Change{Customer: name}
	for _, k := range []customer.ResourceKind{customer.KindService, customer.KindRank, customer.KindAccount, customer.KindLimits, customer.KindRoute, customer.KindRollout} {
		for i, d := range l {
			for _, r := range d.Upsert {
				if r.Kind == k && last[key{r.Kind, r.Name}] == i {
					m.Upsert = append(m.Upsert, r)
				}
			}
		}
	}
	for _, k := range []customer.ResourceKind{customer.KindRollout, customer.KindRoute, customer.KindLimits, customer.KindAccount, customer.KindRank, customer.KindService} {
		for i, d := range l {
			for _, r := range d.Remove {
				if r.Kind == k && last[key{r.Kind, r.Name}] == i {
					m.Remove = append(m.Remove, r)
				}
			}
		}
	}
	return m
}

// CustomerDigest returns the contribution of c to the digest over all customers: a
// hash of its name and its own digest, and zero for nil.
func CustomerDigest(c *customer.Config) uint64 {
	if c == nil {
		return 0
	}
	b := append([]byte(c.Customer()), 0)
	return xxhash.Sum64(binary.BigEndian.AppendUint64(b, c.Digest()))
}

// WithChanges returns a copy of configs with changes applied. It checks the
// references of every changed customer.
func WithChanges(configs map[string]*customer.Config, changes []customer.Change) (map[string]*customer.Config, error) {
	n := make(map[string]*customer.Config, len(configs)+len(changes))
	maps.Copy(n, configs)
	for _, d := range changes {
		c, ok := n[d.Customer]
		if !ok {
			c = customer.NewConfig(d.Customer)
		}
		c, err := c.WithChange(d)
		if err != nil {
			return nil, errors.Wrapf(err, "customer %q", d.Customer)
		}
		if err := c.Check(); err != nil {
			return nil, errors.Wrapf(err, "customer %q", d.Customer)
		}
		n[d.Customer] = c
	}
	return n, nil
}
