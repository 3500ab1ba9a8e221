package soak

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/gooseberrypick/gooseberrypick/pkg/announce"
)

// announceTimeout limits a call to a node, which may be suspended.
const announceTimeout = 2 * time.Second

// Upstream is an upstream that announces itself to a node, leaves and starts again.
type Upstream struct {
	name, node, address string

	mu        sync.Mutex
	announcer *announce.Announcer
	cancel    context.CancelFunc
	// left is when the node acknowledged that the upstream leaves; it is zero while the
	// upstream serves.
	left time.Time
	// url and body are those of the newest announcement.
	url  string
	body []byte
}

// Start begins to announce a new start of the upstream.
func (u *Upstream) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	a := announce.New(announce.Config{
		Node: u.node, Name: u.name, Service: "work", Address: u.address, Slots: slots, Connections: 2 * slots,
		Client: &http.Client{Timeout: announceTimeout, Transport: u},
	})
	u.mu.Lock()
	u.announcer, u.cancel, u.left = a, cancel, time.Time{}
	u.mu.Unlock()
	go a.Run(ctx)
}

// RoundTrip implements http.RoundTripper. It keeps the newest announcement.
func (u *Upstream) RoundTrip(q *http.Request) (*http.Response, error) {
	if q.Method == http.MethodPut {
		b, err := io.ReadAll(q.Body)
		if err != nil {
			return nil, err
		}
		q.Body = io.NopCloser(bytes.NewReader(b))
		if bytes.Contains(b, []byte(`"Serving"`)) {
			u.mu.Lock()
			u.url, u.body = q.URL.String(), b
			u.mu.Unlock()
		}
	}
	return http.DefaultTransport.RoundTrip(q)
}

// Leave reports that the upstream leaves, withdraws it and stops announcing it. It
// reports whether the node has acknowledged one of them.
func (u *Upstream) Leave(drain bool) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 2*announceTimeout)
	defer cancel()
	acknowledged := drain && u.announcer.Leave(ctx) == nil
	at := time.Now()
	if !acknowledged {
		acknowledged, at = u.announcer.Withdraw(ctx) == nil, time.Now()
	} else {
		_ = u.announcer.Withdraw(ctx) // the upstream leaves all the same
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.cancel()
	if acknowledged {
		u.left = at
	}
	return acknowledged
}

// AnnounceLate delivers the newest announcement once more, as a late one.
func (u *Upstream) AnnounceLate() {
	u.mu.Lock()
	url, body := u.url, u.body
	u.mu.Unlock()
	q, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return // nothing was announced yet
	}
	c := http.Client{Timeout: announceTimeout}
	if a, err := c.Do(q); err == nil {
		a.Body.Close()
	}
}

// sinceLeft returns how long ago the node acknowledged that the upstream leaves, or zero
// if it serves.
func (u *Upstream) sinceLeft() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.left.IsZero() {
		return 0
	}
	return time.Since(u.left)
}
