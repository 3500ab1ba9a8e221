package wire

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gooseberrypick/gooseberrypick/internal/quota"
)

// countingConn counts the bytes that are written.
type countingConn struct {
	net.Conn
	written *atomic.Int64
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}

// BenchmarkShareCalls measures the bytes that each kind of call takes, with the framing of
// drpc, without that of TCP.
func BenchmarkShareCalls(b *testing.B) {
	item := func(i int) quota.ReportItem {
		return quota.ReportItem{Account: "whole/tenant-" + string(rune('0'+i/10)) + string(rune('0'+i%10)), Share: quota.Share{Rate: 9000, Burst: 5000}, Demand: 6.8, Want: 1}
	}
	r := quota.Report{Node: "node-042", Incarnation: uint64(time.Now().UnixNano()), Seq: 100000, Epoch: 12}
	renewal, full, take := r, r, r
	full.Full = true
	for i := range 83 {
		full.Items = append(full.Items, item(i))
	}
	take.Items = []quota.ReportItem{{Account: item(7).Account, Demand: 0.5, Want: 1}}
	for _, c := range []struct {
		name, method string
		report       quota.Report
		grant        quota.Grant
	}{
		{"renewal without changes", MethodRenewShares, renewal, quota.Grant{Epoch: 12}},
		{"full renewal", MethodRenewShares, full, quota.Grant{Epoch: 12, Tolerance: quota.Tolerance{Window: 5 * time.Second, Share: 0.1, Requests: 20}}},
		{"tokens", MethodTakeTokens, take, quota.Grant{Epoch: 12, Items: []quota.GrantItem{{Granted: 1}}}},
	} {
		b.Run(c.name, func(b *testing.B) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			m := NewMux()
			HandleUnary(m, c.method, func(context.Context, *ShareRequest) (*ShareResponse, error) { return NewShareResponse(c.grant), nil })
			var up, down atomic.Int64
			ctx, cancel := context.WithCancel(b.Context())
			done := make(chan error, 1)
			go func() { done <- Serve(ctx, countingListener{l, &down}, m, ServeOptions{}) }()
			k, err := Dial(ctx, func(ctx context.Context, a string) (net.Conn, error) {
				n, err := DialTCP(ctx, a)
				return countingConn{n, &up}, err
			}, l.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			q := NewShareRequest(c.report)
			for b.Loop() {
				if _, err := Call[ShareRequest, ShareResponse](ctx, k, c.method, q); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(up.Load())/float64(b.N), "B-request/op")
			b.ReportMetric(float64(down.Load())/float64(b.N), "B-reply/op")
			k.Close()
			cancel()
			<-done
		})
	}
}

type countingListener struct {
	net.Listener
	written *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.written}, err
}
