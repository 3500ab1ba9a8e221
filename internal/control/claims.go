package control

import (
	"context"

	"github.com/pkg/errors"

	"github.com/gooseberrypick/gooseberrypick/internal/claims"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// registerClaims registers the claim methods for nodes and those for calls that other
// members forward. A forwarded call is not forwarded again, so that a call does not
// circulate among members that disagree about the leader.
func registerClaims(m *wire.Mux, s *claims.Service, p *memberClient) {
	registerClaim(m, p, wire.MethodClaim, wire.MethodLeaderClaim, s.Claim)
	registerClaim(m, p, wire.MethodComplete, wire.MethodLeaderComplete, s.Complete)
	registerClaim(m, p, wire.MethodRelease, wire.MethodLeaderRelease, s.Release)
}

// registerClaim registers f for leaderMethod, and for method with forwarding to the
// leader. A call is forwarded only if it provably did not run here.
func registerClaim[Q, A any](m *wire.Mux, p *memberClient, method, leaderMethod string, f func(context.Context, *Q) (*A, error)) {
	wire.HandleUnary(m, leaderMethod, f)
	wire.HandleUnary(m, method, func(ctx context.Context, q *Q) (*A, error) {
		a, err := f(ctx, q)
		var n *claims.NotLeaderError
		if err == nil || !errors.As(err, &n) || n.Leader == "" || errkind.From(err).Execution != errkind.NotRun {
			return a, err
		}
		return callMember[Q, A](ctx, p, n.Leader, leaderMethod, q)
	})
}
