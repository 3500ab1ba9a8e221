package queue

import "time"

// item is one request that waits or runs.
type item struct {
	Request
	rank    *rank
	lane    *lane
	flow    *flow
	est     *estimate
	seq     uint64
	cost    float64 // expected slot time in seconds, fixed while it waits
	offered time.Time
	started float64 // seconds since the queue's epoch, when it runs
	running bool

	prev, next *item
}

// flow holds the waiting requests of one caller in one lane, in arrival order.
type flow struct {
	caller     string
	head, tail *item
	n          int
	running    int
	work       float64
	// tag is the virtual time at which the caller has used up its share so far.
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

// lane shares slot time equally between callers by start-time fair queueing.
type lane struct {
	late      bool
	flows     map[string]*flow
	byTag     heap[*flow]
	byWaiting heap[*flow]
	virtual   float64
	waiting   int
	work      float64
}

func newLane(late bool) *lane {
	return &lane{
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
				if a.n != b.n {
					return a.n > b.n
				}
				return a.caller < b.caller
			},
			move: func(f *flow, i int) { f.byWaiting = i },
		},
	}
}

func (l *lane) add(it *item) {
	f := l.flows[it.Caller]
	if f == nil {
		f = &flow{caller: it.Caller, byTag: -1, byWaiting: -1}
		l.flows[it.Caller] = f
	}
	it.lane, it.flow = l, f
	f.add(it)
	l.waiting++
	l.work += it.cost
	if f.n > 1 {
		l.byWaiting.fix(f.byWaiting)
		return
	}
	f.tag = max(f.tag, l.virtual)
	l.byTag.push(f)
	l.byWaiting.push(f)
}

// take removes it from the lane without charging its caller.
func (l *lane) take(it *item) {
	f := it.flow
	f.remove(it)
	l.waiting--
	l.work = max(0, l.work-it.cost)
	if f.n == 0 {
		l.byTag.remove(f.byTag)
		l.byWaiting.remove(f.byWaiting)
		l.sweep()
		return
	}
	l.byTag.fix(f.byTag) // the head decides between equal tags
	l.byWaiting.fix(f.byWaiting)
}

// start removes it and charges its caller with the expected slot time.
func (l *lane) start(it *item) {
	f, n := it.flow, l.byTag.len()
	l.virtual = max(l.virtual, f.tag)
	// Virtual time also advances with the work itself. Without this a stream of
	// callers that are all new would keep it still, and a caller that was served
	// once would never be served again.
	l.virtual += it.cost / float64(max(1, n))
	f.tag += it.cost
	f.running++
	l.take(it)
}

// finish replaces the expected slot time of it by what it really took.
func (l *lane) finish(it *item, took float64) {
	f := it.flow
	f.running--
	f.tag += took - it.cost
	if f.n > 0 {
		l.byTag.fix(f.byTag)
	}
}

// head is the request that is next by fairness.
func (l *lane) head() *item {
	if l.byTag.len() == 0 {
		return nil
	}
	return l.byTag.items[0].head
}

// newestOfBusiest is the request whose loss hurts fairness least.
func (l *lane) newestOfBusiest() *item {
	if l.byWaiting.len() == 0 {
		return nil
	}
	return l.byWaiting.items[0].tail
}

// idleFlows bounds how many callers without work are remembered beyond twice
// the number of callers with work.
const idleFlows = 64

// sweep forgets callers that have no work and no excess use. Its cost is spread
// over the departures that made it necessary.
func (l *lane) sweep() {
	if len(l.flows) <= 2*l.byTag.len()+idleFlows {
		return
	}
	for c, f := range l.flows {
		if f.n == 0 && f.running == 0 && f.tag <= l.virtual {
			delete(l.flows, c)
		}
	}
	if len(l.flows) > 4*l.byTag.len()+4*idleFlows {
		for c, f := range l.flows {
			if f.n == 0 && f.running == 0 {
				delete(l.flows, c)
			}
		}
	}
}
