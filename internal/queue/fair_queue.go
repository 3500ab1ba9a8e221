package queue

import "time"

// item is one request that waits or runs.
type item struct {
	Request
	rank    *rank
	queue   *fairQueue
	flow    *flow
	est     *estimate
	seq     uint64
	cost    float64 // expected slot time in seconds; setCost updates it while it waits
	offered time.Time
	started float64 // in seconds since the queue's epoch; set when it runs
	running bool

	prev, next *item
}

func (it *item) weight() float64 {
	if it.Weight > 0 {
		return it.Weight
	}
	return 1
}

// flow holds the waiting requests of one caller in one fairQueue, in arrival order.
type flow struct {
	caller     string
	head, tail *item
	n          int
	running    int
	work       float64
	weight     float64
	// tag is the start tag of the caller's next request: the virtual time up to
	// which the caller has used its share.
	tag              float64
	byTag, byWaiting int
}

func (f *flow) add(it *item) {
	it.prev, it.next = f.tail, nil
	if f.tail != nil {
		f.tail.next = it
	} else {
		f.head = it
	}
	f.tail = it
	f.n++
	f.work += it.cost
}

func (f *flow) remove(it *item) {
	if it.prev != nil {
		it.prev.next = it.next
	} else {
		f.head = it.next
	}
	if it.next != nil {
		it.next.prev = it.prev
	} else {
		f.tail = it.prev
	}
	it.prev, it.next = nil, nil
	f.n--
	f.work -= it.cost
	if f.n == 0 {
		f.work = 0
	}
}

// excess returns the number of waiting requests for each unit of weight.
func (f *flow) excess() float64 { return float64(f.n) / f.weight }

// fairQueue shares slot time between callers by weighted start-time fair queueing.
type fairQueue struct {
	late      bool
	flows     map[string]*flow
	byTag     heap[*flow]
	byWaiting heap[*flow]
	virtual   float64
	waiting   int
	work      float64
	weights   float64 // sum over the flows with waiting requests
}

func newFairQueue(late bool) *fairQueue {
	return &fairQueue{
		late:  late,
		flows: map[string]*flow{},
		byTag: heap[*flow]{
			less: func(a, b *flow) bool {
				if a.tag != b.tag {
					return a.tag < b.tag
				}
				return a.head.seq < b.head.seq
			},
			move: func(f *flow, i int) { f.byTag = i },
		},
		byWaiting: heap[*flow]{
			less: func(a, b *flow) bool {
				if x, y := a.excess(), b.excess(); x != y {
					return x > y
				}
				return a.caller < b.caller
			},
			move: func(f *flow, i int) { f.byWaiting = i },
		},
	}
}

func (l *fairQueue) add(it *item) {
	f := l.flows[it.Caller]
	if f == nil {
		f = &flow{caller: it.Caller, byTag: -1, byWaiting: -1}
		l.flows[it.Caller] = f
	}
	it.queue, it.flow = l, f
	if f.n == 0 {
		f.weight = it.weight()
	}
	f.add(it)
	l.waiting++
	l.work += it.cost
	if f.n > 1 {
		l.byWaiting.fix(f.byWaiting)
		return
	}
	f.tag = max(f.tag, l.virtual)
	l.weights += f.weight
	l.byTag.push(f)
	l.byWaiting.push(f)
}

// remove removes it from the queue without charging its caller.
func (l *fairQueue) remove(it *item) {
	f := it.flow
	f.remove(it)
	l.waiting--
	l.work = max(0, l.work-it.cost)
	if f.n == 0 {
		l.byTag.remove(f.byTag)
		l.byWaiting.remove(f.byWaiting)
		if l.weights -= f.weight; l.byTag.len() == 0 {
			l.weights = 0 // drops rounding errors
		}
		l.forgetIdleFlows()
		return
	}
	l.byTag.fix(f.byTag) // the arrival order of the heads decides between equal tags
	l.byWaiting.fix(f.byWaiting)
}

// start removes it and charges its caller with the expected slot time.
func (l *fairQueue) start(it *item) {
	f, n := it.flow, max(l.weights, it.flow.weight) // rounding errors may lower the sum
	l.virtual = max(l.virtual, f.tag)
	// Virtual time also advances with the slot time handed out. Otherwise a
	// stream of new callers would keep it from advancing, and a caller that was
	// served once would never be served again.
	l.virtual += it.cost / n
	f.tag += it.cost / f.weight
	f.running++
	l.remove(it)
}

// finish replaces the expected slot time charged for it by the measured one.
func (l *fairQueue) finish(it *item, took float64) {
	f := it.flow
	f.running--
	f.tag += (took - it.cost) / f.weight
	if f.n > 0 {
		l.byTag.fix(f.byTag)
	}
}

// head returns the request with the lowest start tag, or nil.
func (l *fairQueue) head() *item {
	if l.byTag.len() == 0 {
		return nil
	}
	return l.byTag.items[0].head
}

// newestOfBusiest returns the newest request of the caller with the most waiting
// requests, whose loss harms fairness least.
func (l *fairQueue) newestOfBusiest() *item {
	if l.byWaiting.len() == 0 {
		return nil
	}
	return l.byWaiting.items[0].tail
}

// maxIdleFlows bounds the flows without waiting requests that are kept, in
// addition to twice the number of flows with waiting requests.
const maxIdleFlows = 64

// forgetIdleFlows deletes the flows of callers that have no requests and have not
// used more than their share. If too many flows remain, it deletes those that have
// as well. Its cost is amortized over the removals that made it necessary.
func (l *fairQueue) forgetIdleFlows() {
	if len(l.flows) <= 2*l.byTag.len()+maxIdleFlows {
		return
	}
	for c, f := range l.flows {
		if f.n == 0 && f.running == 0 && f.tag <= l.virtual {
			delete(l.flows, c)
		}
	}
	if len(l.flows) > 4*l.byTag.len()+4*maxIdleFlows {
		for c, f := range l.flows {
			if f.n == 0 && f.running == 0 {
				delete(l.flows, c)
			}
		}
	}
}
