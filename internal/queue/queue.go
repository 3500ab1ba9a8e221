package queue

import (
	"cmp"
	"time"

	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// Rank is a priority class of requests.
type Rank struct {
	Name string
	// Order is 1 for the most urgent rank.
	Order int
	// Target is the latency within which an answer earns the rank's worth. Zero
	// means that only the deadline counts.
	Target time.Duration
	// Floor is the share of slot time, from 0 to 1, that the rank is guaranteed
	// while any of its requests wait.
	Floor float64
}

// Config holds the settings of a queue.
type Config struct {
	Ranks []Rank
	// Limit is the number of usable slots.
	Limit int
	// MaxWaiting bounds all waiting requests; zero means DefaultMaxWaiting.
	MaxWaiting int
	// MaxWaitingPerRank bounds the waiting requests of one rank; zero means
	// half of MaxWaiting.
	MaxWaitingPerRank int
	// TailExponent sizes the headroom: an urgent request finds no spare slot in
	// time with a probability of about exp(-TailExponent). Zero means
	// DefaultTailExponent.
	TailExponent float64
}

// DefaultMaxWaiting bounds the waiting requests of one upstream. A waiting
// request holds its body of up to 64 KiB in memory, so 512 of them take half of
// the 64 MB that a node may use.
const DefaultMaxWaiting = 512

// Request describes a request to the queue.
type Request struct {
	// ID is unique among the requests that wait or run.
	ID uint64
	// Rank names the rank. An unknown name counts as the least urgent rank.
	Rank string
	// Caller identifies the flow for fair queueing within a rank.
	Caller string
	// Weight is the caller's share of slot time relative to that of other callers. Zero
	// means 1.
	Weight float64
	// Route groups requests of similar slot time. It may be empty.
	Route string
	// FirstSent is when the caller sent its first attempt, from which the target
	// counts. Zero means the time of Offer.
	FirstSent time.Time
	// Deadline is when the caller stops waiting for an answer. Zero means never.
	Deadline time.Time
	// Cost is the expected slot time. It is used until a request of the route
	// has completed.
	Cost time.Duration
}

// Outcome is the result of offering a request.
type Outcome int

// Outcomes of Offer.
const (
	// Admitted requests hold a slot and run now.
	Admitted Outcome = iota + 1
	// Waiting requests are handed out by Next or listed by Refused.
	Waiting
	// Refused requests did not run, and the queue keeps nothing of them.
	Refused
)

// Decision is the result of Offer.
type Decision struct {
	Outcome Outcome
	// Wait is the predicted wait.
	Wait time.Duration
	// Err and RetryAfter are set for Refused.
	Err        *errkind.Error
	RetryAfter time.Duration
}

// Refusal is a request that waited and will not run.
type Refusal struct {
	Request    Request
	Err        *errkind.Error
	RetryAfter time.Duration
}

// Load is the load of the queue as it affects one rank, for entry nodes.
type Load struct {
	InFlight int
	// Waiting is the predicted wait of a new caller's request of this rank,
	// expressed as the number of requests ahead of it.
	Waiting int
	Limit   int
	// QueueWait is the recent mean wait of the rank's requests that were started.
	QueueWait time.Duration
}

// Queue holds the requests of one upstream. It is not safe for concurrent use.
type Queue struct {
	ranks      []*rank // most urgent first
	byName     map[string]*rank
	routes     map[string]*estimate
	items      map[uint64]*item
	freeItems  []*item
	refused    []Refusal
	limit      int
	running    int
	waiting    int
	maxWaiting int
	maxPerRank int
	seq        uint64
	epoch      time.Time
	now        float64 // seconds since epoch

	lastExpiry float64

	tailExponent  float64
	headroomAt    float64
	headroomLimit int
}

// New returns an empty queue.
func New(c Config) *Queue {
	q := &Queue{
		byName:     map[string]*rank{},
		routes:     map[string]*estimate{},
		items:      map[uint64]*item{},
		limit:      max(0, c.Limit),
		maxWaiting: cmp.Or(c.MaxWaiting, DefaultMaxWaiting),

		tailExponent: cmp.Or(c.TailExponent, DefaultTailExponent),
	}
	q.maxPerRank = cmp.Or(c.MaxWaitingPerRank, max(1, q.maxWaiting/2))
	ranks := c.Ranks
	if len(ranks) == 0 {
		ranks = []Rank{{Name: "default", Order: 1}}
	}
	q.setRanks(ranks)
	return q
}

// advance updates the credits of all ranks to t and returns t in seconds since the
// epoch.
func (q *Queue) advance(t time.Time) float64 {
	if q.epoch.IsZero() {
		q.epoch = t
	}
	now := t.Sub(q.epoch).Seconds()
	if dt := now - q.now; dt > 0 {
		for _, r := range q.ranks {
			r.advance(dt, q.limit)
		}
		q.now = now
	}
	return q.now
}

// SetLimit sets the number of usable slots. Running requests keep their slots
// when it falls below their number.
func (q *Queue) SetLimit(now time.Time, n int) {
	q.advance(now)
	q.limit = max(0, n)
}

// Load returns the load that matters to a request of the named rank. A flood of
// a less urgent rank, or of one caller, must not make the upstream look busy to
// the others, and a rank with a floor does not wait for all requests of the more
// urgent ranks.
func (q *Queue) Load(now time.Time, rank string) Load {
	n := q.advance(now)
	r := q.rankOf(rank)
	l := Load{InFlight: q.running, Limit: q.limit, QueueWait: seconds(r.queueWait.at(n))}
	if cost := r.slotTime.at(n); cost > 0 {
		ahead := q.predict(n, r, "", 1, cost) / cost * float64(q.limit)
		l.Waiting = int(min(ahead, float64(q.waiting)))
	}
	return l
}

// Waiting returns the total number of waiting requests.
func (q *Queue) Waiting() int { return q.waiting }

func (q *Queue) rankOf(name string) *rank {
	if r := q.byName[name]; r != nil {
		return r
	}
	return q.ranks[len(q.ranks)-1]
}

// Refused returns and clears the waiting requests that were refused since the
// last call. The slice is valid until the next call of any method.
func (q *Queue) Refused() []Refusal {
	l := q.refused
	q.refused = q.refused[:0]
	return l
}

// Cancel removes a waiting request and reports whether it was found. A running
// request keeps its slot until Done.
func (q *Queue) Cancel(now time.Time, id uint64) bool {
	q.advance(now)
	it := q.items[id]
	if it == nil || it.running {
		return false
	}
	q.drop(it)
	return true
}

// Done frees the slot of a running request. Complete says that the request ran
// to its end. The slot time of an incomplete one is only a lower bound and
// counts as a sample only if it exceeds the expected slot time.
func (q *Queue) Done(now time.Time, id uint64, complete bool) {
	n := q.advance(now)
	it := q.items[id]
	if it == nil || !it.running {
		return
	}
	took := n - it.started
	q.running--
	it.rank.running--
	it.queue.finish(it, took)
	if complete || took > it.cost {
		it.rank.slotTime.add(n, took)
		if it.est != nil {
			it.est.add(n, took)
		}
	}
	delete(q.items, id)
	q.recycle(it)
}

// drop removes a waiting item and recycles it.
func (q *Queue) drop(it *item) {
	it.queue.remove(it)
	q.waiting--
	delete(q.items, it.ID)
	q.recycle(it)
}

func (q *Queue) recycle(it *item) {
	*it = item{}
	q.freeItems = append(q.freeItems, it)
}

func (q *Queue) newItem(r Request) *item {
	q.seq++
	var it *item
	if n := len(q.freeItems); n > 0 {
		it, q.freeItems = q.freeItems[n-1], q.freeItems[:n-1]
	} else {
		it = &item{}
	}
	it.Request, it.seq = r, q.seq
	return it
}
