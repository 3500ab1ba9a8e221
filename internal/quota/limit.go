package quota

import "time"

const (
	// Whole is the share of the whole limit. Shares are integers, so that sums are exact.
	Whole = 1 << 20
	// MaxNodeRate bounds the sum of the rates of all nodes. A new grantor relies on it, so
	// a release must not raise it while an older one runs. The rest is what it can grant
	// while shares of lost nodes may be outstanding, and the nodes' part is what they can
	// use while no grantor replies; neither matters more.
	MaxNodeRate = Whole / 2
	// MaxNodeBurst bounds the sum of the capacities of all nodes in the same way.
	MaxNodeBurst = Whole / 2
	// slackPart is the part of the tolerance that is added to the burst. The rest covers
	// tokens that a replaced grantor gave away in the moment of its replacement.
	slackPart = 0.8

	// NodeLease is how long a node uses its shares after it sent the last renewal that
	// was answered.
	NodeLease = 6 * time.Second
	// GrantorLease is how long the grantor counts the shares of a node after the arrival
	// of its last renewal. The difference covers clocks that run at different speeds.
	GrantorLease = 7 * time.Second
	// MaxTakeAge is how long after a node sent a call the tokens in the reply can be used.
	MaxTakeAge = 100 * time.Millisecond
)

// Share is a part of the limit of an account, in units of 1/Whole.
type Share struct {
	// Rate is the part of the rate, Burst that of the capacity.
	Rate, Burst uint32
}

// IsZero reports whether s is empty.
func (s Share) IsZero() bool { return s == Share{} }

func (s Share) plus(o Share) Share  { return Share{s.Rate + o.Rate, s.Burst + o.Burst} }
func (s Share) minus(o Share) Share { return Share{s.Rate - o.Rate, s.Burst - o.Burst} }
func (s Share) max(o Share) Share   { return Share{max(s.Rate, o.Rate), max(s.Burst, o.Burst)} }
func (s Share) min(o Share) Share   { return Share{min(s.Rate, o.Rate), min(s.Burst, o.Burst)} }

// Limit is the limit of one account over all nodes.
type Limit struct {
	// Rate is in requests per second. Burst is the number of requests that the account
	// may send at once after a pause.
	Rate, Burst float64
	// Slack is added to Burst, so that tokens at nodes that do not need them do not cause
	// the refusal of a burst elsewhere.
	Slack float64
}

// Capacity returns the number of tokens that all buckets of the account hold together. It
// is at least 1, since no request could be admitted otherwise.
func (l Limit) Capacity() float64 { return max(1, l.Burst+l.Slack) }

// rateOf and capacityOf return the rate and the capacity of a bucket with share s.
func (l Limit) rateOf(s Share) float64     { return l.Rate * float64(s.Rate) / Whole }
func (l Limit) capacityOf(s Share) float64 { return l.Capacity() * float64(s.Burst) / Whole }

// Tolerance states by how much the requests that arrive within any window of length
// Window may exceed the limit: by the part Share of what it allows, and Requests more.
type Tolerance struct {
	Window          time.Duration
	Share, Requests float64
}

// Limit returns the limit of an account with the given rate and burst.
func (t Tolerance) Limit(rate, burst float64) Limit {
	l := Limit{Rate: rate, Burst: burst}
	if t.Window > 0 {
		l.Slack = slackPart * (t.Share*(rate*t.Window.Seconds()+burst) + t.Requests)
	}
	return l
}

// Report is what a node tells the grantor about its accounts.
type Report struct {
	Node string
	// Known is set by the grantor if the node is in the replicated set of lease holders.
	// Others get no shares, since the next grantor would not wait for them.
	Known       bool
	Incarnation uint64
	// Seq orders the calls of one incarnation.
	Seq uint64
	// Epoch is that of the grantor whose reply the node used last.
	Epoch uint64
	// Full says that the node has no shares of accounts that are not in Items.
	Full bool
	// Leaving says that the node stops: it has no shares and will use none.
	Leaving bool
	Items   []ReportItem
}

// ReportItem is what a node reports about one account.
type ReportItem struct {
	Account string
	// Share is what the node holds.
	Share Share
	// Demand is the number of requests per second, including refused ones.
	Demand float64
	// Want is the number of requests that wait for tokens.
	Want int
	// Refund is the number of tokens that the node gives back.
	Refund float64
}

// Grant is the reply to a Report.
type Grant struct {
	Epoch uint64
	// Tolerance is set in replies to full reports.
	Tolerance Tolerance
	// Resync asks for a full report. Shares in Items are not set then.
	Resync bool
	// Stale says that the report arrived after a later one and was not used.
	Stale bool
	Items []GrantItem
}

// GrantItem is the part of a Grant for one account.
type GrantItem struct {
	// Account is empty in the reply to a call for tokens, which is about one account.
	Account string
	// Changed says that the node shall hold Share from now on, with Tokens in addition
	// to those in its bucket.
	Changed bool
	Share   Share
	Tokens  float64
	// Granted is the number of waiting requests that are admitted. If it is below Want,
	// asking again is useless before Wait has passed.
	Granted int
	Wait    time.Duration
}

// Account returns the name of an account that is unique over all customers.
func Account(customer, account string) string { return customer + "/" + account }
