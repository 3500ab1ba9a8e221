// Package announce lets an upstream announce itself to the node on the same VM.
//
// # Usage
//
//	a := announce.New(announce.Config{
//		Node: "127.0.0.1:21103", Name: "level-display-1", Service: "level-display",
//		Address: "127.0.0.1:9101", Slots: 20, Connections: 100,
//	})
//	go a.Run(ctx) // announces Serving and renews the announcement until ctx is done
//	…
//	err := a.Leave(ctx) // before a planned stop: no new requests from now on
//	err = server.Shutdown(ctx)
package announce

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// retryInterval is the pause after an announcement that failed.
	retryInterval    = 500 * time.Millisecond
	callTimeout      = 2 * time.Second
	maxResponseBytes = 16 << 10
)

// Config describes the upstream and the node to which it is announced.
type Config struct {
	// Node is the UpstreamListen address of the node.
	Node        string
	Name        string
	Service     string
	Address     string
	Slots       int
	Connections int
	// Version is the software version of the upstream. It may be empty.
	Version string
	// Failed is called when an announcement fails; it may be nil.
	Failed func(error)
	// Client sends requests to the node; nil means a client with a timeout of 2 s.
	Client *http.Client
}

// Announcer announces an upstream and renews the announcement.
type Announcer struct {
	c Config
	// incarnation is the start of the upstream, by which the node tells late
	// announcements of an earlier start from those of this one.
	incarnation int64
	mu          sync.Mutex
	state       string
	sequence    uint64
	withdrawn   bool
}

// New returns an Announcer for an upstream in state Serving.
func New(c Config) *Announcer {
	if c.Failed == nil {
		c.Failed = func(error) {}
	}
	if c.Client == nil {
		c.Client = &http.Client{Timeout: callTimeout}
	}
	return &Announcer{c: c, incarnation: time.Now().UnixMilli(), state: "Serving"}
}

type announcement struct {
	Service     string
	Address     string
	Slots       int
	Connections int
	State       string
	Version     string `json:",omitempty"`
}

type renewal struct{ RenewWithin string }

// Run announces the upstream and renews the announcement until ctx is done or the
// upstream withdraws.
func (a *Announcer) Run(ctx context.Context) {
	for ctx.Err() == nil && !a.hasWithdrawn() {
		wait := retryInterval
		if d, err := a.Announce(ctx); err != nil {
			a.c.Failed(err)
		} else {
			wait = d / 3 // tolerates two lost renewals
		}
		t := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			t.Stop()
		case <-t.C:
		}
	}
}

func (a *Announcer) hasWithdrawn() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.withdrawn
}

// Announce announces the current state once and returns the time within which the
// announcement must be renewed.
func (a *Announcer) Announce(ctx context.Context) (time.Duration, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	b, err := json.Marshal(announcement{a.c.Service, a.c.Address, a.c.Slots, a.c.Connections, a.state, a.c.Version})
	if err != nil {
		return 0, errors.Wrap(err, "encode announcement")
	}
	if a.withdrawn {
		return 0, errors.New("the upstream has withdrawn; a new start needs a new Announcer")
	}
	a.sequence++
	q := url.Values{"Sequence": {strconv.FormatUint(a.sequence, 10)}}
	var r renewal
	if err := a.call(ctx, http.MethodPut, q, b, &r); err != nil {
		return 0, err
	}
	d, err := time.ParseDuration(r.RenewWithin)
	if err != nil || d <= 0 {
		return 0, errors.Errorf("node answered with RenewWithin %q", r.RenewWithin)
	}
	return d, nil
}

// Leave announces that the upstream stops. From then on its node sends it no new
// requests, and waiting requests move to other upstreams. Leave returns when each
// request already sent has ended or has certainly been started by the upstream, so
// that a graceful shutdown of its server cuts none off.
func (a *Announcer) Leave(ctx context.Context) error {
	a.mu.Lock()
	a.state = "Leaving"
	a.mu.Unlock()
	_, err := a.Announce(ctx)
	return err
}

// Withdraw removes the announcement. Nothing is announced from then on. It may be called
// again after an error.
func (a *Announcer) Withdraw(ctx context.Context) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.withdrawn = true
	return a.call(ctx, http.MethodDelete, url.Values{}, nil, nil)
}

// call sends a request with the incarnation and the given query.
func (a *Announcer) call(ctx context.Context, method string, q url.Values, body []byte, answer any) error {
	q.Set("Incarnation", strconv.FormatInt(a.incarnation, 10))
	u := fmt.Sprintf("http://%s/v1/upstreams/%s?%s", a.c.Node, url.PathEscape(a.c.Name), q.Encode())
	h, err := http.NewRequestWithContext(ctx, method, u, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "announce")
	}
	h.Header.Set("Content-Type", "application/json")
	r, err := a.c.Client.Do(h)
	if err != nil {
		return errors.Wrap(err, "announce")
	}
	defer r.Body.Close()
	b, err := io.ReadAll(io.LimitReader(r.Body, maxResponseBytes))
	if err != nil {
		return errors.Wrap(err, "announce")
	}
	if r.StatusCode >= http.StatusMultipleChoices {
		return errors.Errorf("node answered %s: %s", r.Status, bytes.TrimSpace(b))
	}
	if answer == nil {
		return nil
	}
	return errors.Wrap(json.Unmarshal(b, answer), "decode answer of node")
}
