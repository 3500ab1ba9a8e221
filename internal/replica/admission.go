package replica

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

const (
	// admissionTimeout bounds the time for which the same members are asked for
	// admission.
	admissionTimeout = 2 * time.Second
	// minAdmissionPause and maxAdmissionPause bound the pause between two requests to a
	// member that responds but does not lead the group.
	minAdmissionPause = 50 * time.Millisecond
	maxAdmissionPause = 400 * time.Millisecond
	// rejoinPause is the average pause between two attempts to be admitted again.
	rejoinPause = 300 * time.Millisecond
)

func newJoinRequest(c Config, identity string) *wire.JoinRequest {
	self := c.self()
	return &wire.JoinRequest{Group: c.Group, Identity: identity, Name: self.Name, Address: self.Address, Zone: c.Zone}
}

// requestAdmission asks the given members, by name or address, for admission until one
// grants it, which only the leader does. All are asked at the same time, so that those
// that do not respond delay nothing.
func requestAdmission(ctx context.Context, c Config, r *wire.JoinRequest, members []string) (*wire.JoinResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, admissionTimeout)
	defer cancel()
	var w sync.WaitGroup
	admitted := make(chan *wire.JoinResponse, len(members))
	for _, n := range members {
		w.Go(func() {
			for pause := minAdmissionPause; ctx.Err() == nil; pause = min(2*pause, maxAdmissionPause) {
				if a := askForAdmission(ctx, c, r, n); a != nil {
					admitted <- a
					cancel()
					return
				}
				select {
				case <-time.After(pause):
				case <-ctx.Done():
				}
			}
		})
	}
	w.Wait()
	select {
	case a := <-admitted:
		return a, nil
	default:
		return nil, errkind.New(errkind.Unreachable, "none of %d members granted admission within %s", len(members), admissionTimeout)
	}
}

// askForAdmission returns nil if the member does not grant admission.
func askForAdmission(ctx context.Context, c Config, r *wire.JoinRequest, member string) *wire.JoinResponse {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	a, err := c.Peers.Join(ctx, member, r)
	if err != nil {
		if errkind.Of(err) != errkind.NotLeader {
			c.Log.V(1).Info("request to join refused", "group", c.Group, "by", member, "cause", err.Error())
		}
		return nil
	}
	return a
}

// appendAddresses adds the addresses of members that l does not contain, except self.
func appendAddresses(l []string, members []wire.RaftMember, self string) []string {
	for _, m := range members {
		if m.Address != self && !slices.Contains(l, m.Address) {
			l = append(l, m.Address)
		}
	}
	return l
}

// appendSeeds adds the seeds that l does not contain, except this member.
func appendSeeds(l []string, c Config) []string {
	for _, s := range c.Seeds {
		if s != c.self().Address && !slices.Contains(l, s) {
			l = append(l, s)
		}
	}
	return l
}

// rejoiner asks for admission again after the group has replaced this member while
// it was down or unreachable.
type rejoiner struct {
	c        Config
	identity string
	rand     *rand.Rand
}

func newRejoiner(c Config, identity string) *rejoiner {
	return &rejoiner{c: c, identity: identity, rand: rand.New(rand.NewPCG(c.Rand.Uint64(), c.Rand.Uint64()))}
}

func (r *rejoiner) run(ctx context.Context, g *Group) {
	for {
		select {
		case <-g.detached:
		case <-ctx.Done():
			return
		}
		r.rejoin(ctx, g)
		select {
		case <-time.After(rejoinPause/2 + time.Duration(r.rand.Int64N(int64(rejoinPause)))):
		case <-ctx.Done():
		}
		select {
		case <-g.detached: // from before the leader's first message
		default:
		}
	}
}

// rejoin asks all known members and the seeds for admission. The leader does not change
// the membership if this member still belongs to it.
func (r *rejoiner) rejoin(ctx context.Context, g *Group) {
	l := appendSeeds(appendAddresses(nil, g.Status().Members, r.c.self().Address), r.c)
	q := newJoinRequest(r.c, r.identity)
	q.Returned = true
	if _, err := requestAdmission(ctx, r.c, q, l); err != nil {
		r.c.Log.V(1).Info("not admitted again", "group", r.c.Group, "identity", r.identity, "cause", err.Error())
		return
	}
	r.c.Log.Info("confirmed as a member of the group", "group", r.c.Group, "identity", r.identity)
}
