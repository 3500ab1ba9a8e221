package wire

import (
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/quota"
)

// Methods of the grantor of account limits, on the leader of the config group.
const (
	MethodRenewShares = "/quota/Renew"
	MethodTakeTokens  = "/quota/Take"
)

// Units of numbers in the messages of this file: integers are shorter than floating-point
// numbers. Tokens are rounded down, so that none are created.
const (
	demandUnit = 0.1 // requests per second
	tokenUnit  = 0.001
	waitUnit   = time.Millisecond
)

// ShareRequest is a quota.Report on its way. It asks for the shares of a node, or for
// tokens of one account.
type ShareRequest struct {
	Node        string             `cbor:"1,keyasint"`
	Incarnation uint64             `cbor:"2,keyasint"`
	Seq         uint64             `cbor:"3,keyasint"`
	Epoch       uint64             `cbor:"4,keyasint,omitempty"`
	Full        bool               `cbor:"5,keyasint,omitempty"`
	Leaving     bool               `cbor:"7,keyasint,omitempty"`
	Items       []ShareRequestItem `cbor:"6,keyasint,omitempty"`
}

// ShareRequestItem is a quota.ReportItem on its way.
type ShareRequestItem struct {
	Account string `cbor:"1,keyasint"`
	Rate    uint32 `cbor:"2,keyasint,omitempty"`
	Burst   uint32 `cbor:"3,keyasint,omitempty"`
	Demand  uint32 `cbor:"4,keyasint,omitempty"`
	Want    uint32 `cbor:"5,keyasint,omitempty"`
	Refund  uint32 `cbor:"6,keyasint,omitempty"`
}

// ShareResponse is a quota.Grant on its way.
type ShareResponse struct {
	Epoch     uint64              `cbor:"1,keyasint"`
	Tolerance *ShareTolerance     `cbor:"2,keyasint,omitempty"`
	Resync    bool                `cbor:"3,keyasint,omitempty"`
	Stale     bool                `cbor:"4,keyasint,omitempty"`
	Items     []ShareResponseItem `cbor:"5,keyasint,omitempty"`
}

// ShareTolerance is a quota.Tolerance on its way.
type ShareTolerance struct {
	Window   time.Duration `cbor:"1,keyasint"`
	Share    float64       `cbor:"2,keyasint"`
	Requests float64       `cbor:"3,keyasint"`
}

// ShareResponseItem is a quota.GrantItem on its way.
type ShareResponseItem struct {
	Account string `cbor:"1,keyasint,omitempty"`
	Changed bool   `cbor:"2,keyasint,omitempty"`
	Rate    uint32 `cbor:"3,keyasint,omitempty"`
	Burst   uint32 `cbor:"4,keyasint,omitempty"`
	Tokens  uint32 `cbor:"5,keyasint,omitempty"`
	Granted uint32 `cbor:"6,keyasint,omitempty"`
	Wait    uint32 `cbor:"7,keyasint,omitempty"`
}

// NewShareRequest returns the message for r.
func NewShareRequest(r quota.Report) *ShareRequest {
	q := &ShareRequest{Node: r.Node, Incarnation: r.Incarnation, Seq: r.Seq, Epoch: r.Epoch, Full: r.Full, Leaving: r.Leaving}
	for _, i := range r.Items {
		q.Items = append(q.Items, ShareRequestItem{
			Account: i.Account, Rate: i.Share.Rate, Burst: i.Share.Burst,
			Demand: uint32(max(0, i.Demand/demandUnit+0.5)), Want: uint32(max(0, i.Want)), Refund: uint32(max(0, i.Refund/tokenUnit)),
		})
	}
	return q
}

// Report returns the report that q carries.
func (q *ShareRequest) Report() quota.Report {
	r := quota.Report{Node: q.Node, Incarnation: q.Incarnation, Seq: q.Seq, Epoch: q.Epoch, Full: q.Full, Leaving: q.Leaving}
	for _, i := range q.Items {
		r.Items = append(r.Items, quota.ReportItem{
			Account: i.Account, Share: quota.Share{Rate: min(i.Rate, quota.Whole), Burst: min(i.Burst, quota.Whole)},
			Demand: float64(i.Demand) * demandUnit, Want: int(i.Want), Refund: float64(i.Refund) * tokenUnit,
		})
	}
	return r
}

// NewShareResponse returns the message for g.
func NewShareResponse(g quota.Grant) *ShareResponse {
	a := &ShareResponse{Epoch: g.Epoch, Resync: g.Resync, Stale: g.Stale}
	if t := g.Tolerance; t != (quota.Tolerance{}) {
		a.Tolerance = &ShareTolerance{t.Window, t.Share, t.Requests}
	}
	for _, i := range g.Items {
		a.Items = append(a.Items, ShareResponseItem{
			Account: i.Account, Changed: i.Changed, Rate: i.Share.Rate, Burst: i.Share.Burst,
			Tokens: uint32(max(0, i.Tokens/tokenUnit)), Granted: uint32(max(0, i.Granted)), Wait: uint32(max(0, i.Wait/waitUnit)),
		})
	}
	return a
}

// Grant returns the grant that a carries.
func (a *ShareResponse) Grant() quota.Grant {
	g := quota.Grant{Epoch: a.Epoch, Resync: a.Resync, Stale: a.Stale}
	if t := a.Tolerance; t != nil {
		g.Tolerance = quota.Tolerance{Window: t.Window, Share: t.Share, Requests: t.Requests}
	}
	for _, i := range a.Items {
		g.Items = append(g.Items, quota.GrantItem{
			Account: i.Account, Changed: i.Changed, Share: quota.Share{Rate: i.Rate, Burst: i.Burst},
			Tokens: float64(i.Tokens) * tokenUnit, Granted: int(i.Granted), Wait: time.Duration(i.Wait) * waitUnit,
		})
	}
	return g
}
