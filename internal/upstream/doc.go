// Package upstream speaks to the upstreams beside a node: it takes their
// announcements, queues requests for them and sends these over HTTP.
//
// # Usage
//
//	local := upstream.NewLocal(upstream.Config{Table: tables.Table, Log: l})
//	a := upstream.NewAnnouncements(l, local)
//	server := &http.Server{Handler: a.Handler()}
//	answer, err := local.Call(ctx, request)
//
// Locks: each upstream has one lock around its queue and limiter. It is held
// for a decision only, never while a request is under way.
package upstream
