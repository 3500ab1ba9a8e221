package queue

import (
	"cmp"
	"time"

	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// Rank is a class of work.
type Rank struct {
	Name string
	// Order is 1 for the most urgent rank.
	Order int
	// Target is the latency within which an answer is worth something. Zero
	// means that only the deadline counts.
	Target time.Duration
	// Floor is the share of slot time, from 0 to 1, that the rank keeps while
	// any of its work waits.
	Floor float64
}

// Config describes a queue.
type Config struct {
	Ranks []Rank
	// Limit is the number of usable slots.
	Limit int
	// MaxWaiting bounds all waiting requests; zero means DefaultMaxWaiting.
	MaxWaiting int
	// MaxWaitingPerRank bounds the waiting requests of one rank; zero means
	// half of MaxWaiting.
	MaxWaitingPerRank int
	// TailExponent is how sure urgent work is of a spare slot: it misses one with
	// a chance of about exp(-TailExponent). Zero means DefaultTailExponent.
	TailExponent float64
}

// DefaultMaxWaiting bounds the waiting requests of one upstream. Waiting
// requests hold their bodies of up to 64 KiB; 512 of them are half of the 64 MB
// that a node may use.
const DefaultMaxWaiting = 512

// Request is one unit of work.
type Request struct {
	// ID is unique among the requests that wait or run.
	ID uint64
	// Rank names the rank. An unknown name counts as the least urgent rank.
	Rank string
	// Caller identifies the flow for fairness inside a rank.
	Caller string
	// Route groups requests of similar slot time. It may be empty.
	Route string
	// FirstSent is when the caller first asked, from which the target counts.
	FirstSent time.Time
	// Deadline is when the answer is useless to the caller. Zero means never.
	Deadline time.Time
	// Cost is the usual slot time, used until the queue has seen the route run.
	Cost time.Duration
}

// Outcome is what became of an offered request.
type Outcome int

// Outcomes of Offer.
const (
	// Admitted requests hold a slot and run now.
	Admitted Outcome = iota + 1
	// Waiting requests are handed out by Next or listed by Refused.
	Waiting
	// Refused requests did not run and are forgotten.
	Refused
)

// Decision answers Offer.
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

// Load describes the queue to entry nodes as one rank sees it.
type Load struct {
	InFlight int
	// Waiting is the predicted wait of a new caller's request of the rank, as a
	// number of requests ahead of it.
	Waiting int
	Limit   int
	// QueueWait is the recent mean wait of the rank's requests that got a slot.
	QueueWait time.Duration
}

// Queue holds the requests of one upstream. It is not safe for concurrent use.
type Queue struct {
	ranks      []*rank // most urgent first
	byName     map[string]*rank
	routes     map[string]*estimate
	items      map[uint64]*item
	free       []*item
	refused    []Refusal
	limit      int
	running    int
	waiting    int
	maxWaiting int
	maxPerRank int
	seq        uint64
	epoch      time.Time
	now        float64 // seconds since epoch

	sweptAt float64

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

// advance accounts the time up to t and returns it in seconds.
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

// SetLimit sets the number of usable slots. Running requests keep theirs.
func (q *Queue) SetLimit(now time.Time, n int) {
	q.advance(now)
	q.limit = max(0, n)
}

// Load returns the load as requests of the named rank see it. A flood of a less
// urgent rank, or of one caller, must not make the upstream look busy to the
// others, and a rank that is served by its floor does not wait for all the work
// above it.
func (q *Queue) Load(now time.Time, rank string) Load {
	n := q.advance(now)
	r := q.rankOf(rank)
	l := Load{InFlight: q.running, Limit: q.limit, QueueWait: seconds(r.waited.at(n))}
	if cost := r.service.at(n); cost > 0 {
		ahead := q.predict(n, r, "", cost) / cost * float64(q.limit)
		l.Waiting = int(min(ahead, float64(q.waiting)))
	}
	return l
}

// Waiting returns the number of all waiting requests.
func (q *Queue) Waiting() int { return q.waiting }

func (q *Queue) rankOf(name string) *rank {
	if r := q.byName[name]; r != nil {
		return r
	}
	return q.ranks[len(q.ranks)-1]
}

// Refused returns the waiting requests that were refused since the last call.
// The slice is valid until the next call of any method.
func (q *Queue) Refused() []Refusal {
	l := q.refused
	q.refused = q.refused[:0]
	return l
}

// Cancel forgets a waiting request and reports whether there was one. A running
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

// Done frees the slot of a running request. Complete says that the slot time
// is that of a whole request; an incomplete one is a lower bound.
func (q *Queue) Done(now time.Time, id uint64, complete bool) {
	n := q.advance(now)
	it := q.items[id]
	if it == nil || !it.running {
		return
	}
	took := n - it.started
	q.running--
	it.rank.running--
	it.lane.finish(it, took)
	if complete || took > it.cost {
		it.rank.service.add(n, took)
		if it.est != nil {
			it.est.add(n, took)
		}
	}
	delete(q.items, id)
	q.release(it)
}

// drop forgets a waiting item.
func (q *Queue) drop(it *item) {
	it.lane.take(it)
	q.waiting--
	delete(q.items, it.ID)
	q.release(it)
}

func (q *Queue) release(it *item) {
	*it = item{}
	q.free = append(q.free, it)
}

func (q *Queue) newItem(r Request) *item {
	q.seq++
	var it *item
	if n := len(q.free); n > 0 {
		it, q.free = q.free[n-1], q.free[:n-1]
	} else {
		it = &item{}
	}
	it.Request, it.seq = r, q.seq
	return it
}
