package idempotency

import (
	"context"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

const (
	// maxKeyBytes is the length of the longest key that a claim group accepts.
	maxKeyBytes = 256
	// defaultDeadline applies to requests without one, because a claim needs a deadline.
	defaultDeadline = 30 * time.Second
)

// Run claims the key of q, calls execute at most once, and records the outcome before it
// returns. execute must return soon after its context ends. An error of execute with
// execution not-run releases the key, so it must be certain; any other error leaves the
// key without an outcome.
//
// If the outcome cannot be recorded in time, the caller still gets the response, and
// resends get OutcomeUnknown unless a later try records it.
func (c *Client) Run(ctx context.Context, q Request, execute func(ctx context.Context) (*Response, error)) (*Response, error) {
	if err := q.validate(); err != nil {
		return nil, err
	}
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultDeadline)
		defer cancel()
	}
	id := newClaimID()
	a, mayTakeEffect, err := c.Claim(ctx, &wire.ClaimRequest{
		Customer: q.Customer, Key: q.Key, Digest: q.Digest, ClaimID: id, Node: c.config.Node,
	})
	if err == nil && a.State == wire.Granted {
		return c.execute(ctx, q, id, execute)
	}
	if mayTakeEffect {
		c.callInBackground("release", id, q.release(id))
	}
	if err != nil {
		return nil, claimError(ctx, err)
	}
	return responseOf(a)
}

func (q Request) validate() error {
	switch {
	case q.Key == "":
		return errkind.New(errkind.KeyRequired, "the route needs an Idempotency-Key header")
	case len(q.Key) > maxKeyBytes:
		return errkind.New(errkind.BadRequest, "Idempotency-Key has %d bytes; at most %d are allowed", len(q.Key), maxKeyBytes)
	}
	return nil
}

func (q Request) release(id string) func(ctx context.Context, k Control) error {
	return func(ctx context.Context, k Control) error {
		_, err := k.Release(ctx, &wire.ReleaseRequest{Customer: q.Customer, Key: q.Key, ClaimID: id})
		return err
	}
}

func (q Request) complete(id string, o wire.Outcome) func(ctx context.Context, k Control) error {
	return func(ctx context.Context, k Control) error {
		_, err := k.Complete(ctx, &wire.CompleteRequest{Customer: q.Customer, Key: q.Key, ClaimID: id, Outcome: o})
		return err
	}
}

// execute calls f for a request whose claim was granted, and then records the outcome or
// releases the claim.
func (c *Client) execute(ctx context.Context, q Request, id string, f func(ctx context.Context) (*Response, error)) (*Response, error) {
	if ctx.Err() != nil {
		c.callInBackground("release", id, q.release(id))
		return nil, claimError(ctx, ctx.Err())
	}
	r, err := f(ctx)
	if err == nil && r == nil {
		err = errkind.New(errkind.Internal, "request ended without a response")
	}
	if err != nil {
		e := errkind.From(err)
		if e.Execution == errkind.NotRun {
			c.finishClaim(ctx, "release", id, q.release(id))
		}
		return nil, e
	}
	c.finishClaim(ctx, "complete", id, q.complete(id, r.outcome()))
	return r, nil
}

// finishClaim completes or releases a claim with the given call. It tries within the
// request's time, and otherwise leaves the call to the background.
func (c *Client) finishClaim(ctx context.Context, name, id string, call func(ctx context.Context, k Control) error) {
	t, cancel := context.WithTimeout(ctx, finishTimeout)
	defer cancel()
	err := c.callUntilDone(t, call)
	switch {
	case err == nil:
	case errkind.Of(err) == errkind.Conflict || errkind.Of(err) == errkind.BadRequest:
		c.config.Log.Info("claim left without an outcome", "call", name, "claim", id, "cause", err.Error())
	default:
		c.callInBackground(name, id, call)
	}
}

// claimError returns the error for a request whose claim was not granted, and which was
// therefore not sent.
func claimError(ctx context.Context, err error) error {
	k := errkind.Of(err)
	switch {
	case isFinal(k):
	case ctx.Err() == context.Canceled:
		k = errkind.Canceled
	default:
		k = errkind.NoQuorum
	}
	return errkind.Wrap(err, k, "key was not claimed").WithExecution(errkind.NotRun)
}

// responseOf returns the result of a request whose claim was not granted, in most cases
// because an earlier request holds the key.
func responseOf(a *wire.ClaimResponse) (*Response, error) {
	switch {
	case a.State == wire.Recorded && a.Outcome != nil:
		return replay(a.Outcome)
	case a.State == wire.Mismatch:
		return nil, errkind.New(errkind.KeyReused, "the Idempotency-Key was used for another request")
	case a.State == wire.InProgress:
		return nil, errkind.New(errkind.InProgress, "a request with this Idempotency-Key is in progress")
	case a.State == wire.Released:
		return nil, errkind.New(errkind.Conflict, "the claim was withdrawn before it arrived")
	}
	return nil, errkind.New(errkind.OutcomeUnknown, "a request with this Idempotency-Key was sent and its outcome is unknown")
}
