// Package quota decides how the limit of an account is divided between the nodes, so that
// all nodes together admit no more than the limit allows. Its decisions are meant for some
// hundred accounts with limits of 5 to 1,000 requests per second, whose requests arrive at
// up to about 100 nodes in clumps, with peaks of several times the limit. They are pure:
// the time is an argument, and messages are passed on by the callers of the package.
//
// # Rules
//
// The grantor has a Ledger, each node a Holder. A Share is a fraction of the rate of an
// account and a fraction of its capacity; the shares of all nodes and that of the
// grantor's reserve add up to at most 1. Each Share has a Bucket that refills at its part
// of the rate and holds at most its part of the capacity. So in any window of length W all
// buckets together give at most capacity + rate*W tokens, wherever the shares are:
//
//   - A share that grows takes its parts, with a proportional part of the tokens, from
//     the reserve. A share that shrinks frees its parts once the node has reported that it
//     holds no more than the smaller share, or once its lease has ended.
//   - A node uses the reply to a call only if it has sent no later call about the account.
//     So a report states all that a node can hold, except for the replies to that report
//     itself and to later ones. Until then the Ledger counts the larger of both.
//   - A node drops its shares when its lease ends, counted from when it sent its last
//     answered renewal. The grantor counts longer, and from when the renewal arrived.
//   - Tokens that a node takes from the reserve serve only requests that were waiting when
//     the node sent the call, and only shortly after that, so they count as used when they
//     left the reserve.
//   - Nodes together hold at most MaxNodeRate and MaxNodeBurst. A new grantor can
//     therefore use the rest at once, starting without tokens. Everything else it
//     withholds until each known node has reported its shares in the new epoch, or the
//     leases of the earlier grantor have ended.
//
// Rate and capacity are divided separately: a node needs its part of the rate to serve
// its usual traffic alone, but only a few tokens for clumps. Tokens at nodes where an
// account sends nothing would be missing where it sends a burst.
//
// # Usage
//
// At the node:
//
//	h := quota.NewHolder(name, incarnation)
//	h.SetLimits(now, limits)
//	if h.Admit(now, account) {
//		return nil
//	}
//	r := h.Renewal(now)                // sent to the grantor from time to time
//	lowered := h.Apply(now, r.Seq, g)  // with its reply
//
// At the grantor:
//
//	l := quota.NewLedger()
//	l.Takeover(now, term, knownNodes)
//	l.SetLimits(now, limits)
//	g := l.Renew(now, r)
package quota
