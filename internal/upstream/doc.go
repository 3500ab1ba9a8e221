// Package upstream connects a node to its local upstreams: it receives their
// announcements, queues requests for them and sends the requests over HTTP.
//
// # Usage
//
//	local := upstream.NewLocal(upstream.Config{Table: tables.Table, Log: l})
//	a := upstream.NewAnnouncements(l, local)
//	server := &http.Server{Handler: a.Handler()}
//	response, err := local.Call(ctx, request)
//
// Each upstream has one lock for its queue and limiter. It is held only for a
// decision, never while a request is in flight.
package upstream
