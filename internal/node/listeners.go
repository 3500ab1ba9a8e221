package node

import (
	"net"

	"github.com/gooseberrypick/gooseberrypick/internal/mtls"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

const (
	// maxLocalConnections bounds the connections to each port for the upstreams on
	// the same VM and for administration.
	maxLocalConnections = 256
	// The following are the greatest shares of the descriptors for the connections to a
	// port; about a fifth is left for connections that the node opens.
	callerDescriptors = 0.5
	peerDescriptors   = 0.25
	localDescriptors  = 1.0 / 64
)

type listeners struct{ caller, upstream, peer, admin, ready net.Listener }

// openListeners opens the listeners and returns the Dialer for connections to nodes
// and controls. If the settings enable TLS, these connections use it; connections of
// callers and upstreams never do.
func openListeners(c Config) (listeners, wire.Dialer, error) {
	s := c.Settings
	if !s.TLS.Enabled() {
		l, err := listenAll(c)
		return l, c.Dial, err
	}
	i, err := mtls.New(mtls.Config{Files: s.TLS, Addresses: []string{s.PeerListen}, Log: c.Log.WithName("tls")})
	if err != nil {
		return listeners{}, nil, err
	}
	l, err := listenAll(c)
	if err != nil {
		return l, nil, err
	}
	l.peer = i.Listener(l.peer)
	return l, i.Dialer(c.Dial), nil
}

func listenAll(c Config) (listeners, error) {
	var l listeners
	s := c.Settings
	for _, e := range []struct {
		to      *net.Listener
		key     string
		address string
	}{
		{&l.caller, "Listen", s.Listen},
		{&l.upstream, "UpstreamListen", s.UpstreamListen},
		{&l.peer, "PeerListen", s.PeerListen},
		{&l.admin, "AdminListen", s.AdminListen},
		{&l.ready, "ReadyListen", s.ReadyListen},
	} {
		if e.address == "" {
			continue // the key is optional
		}
		k, err := c.Listen(e.address)
		if err != nil {
			l.close()
			return l, errkind.Wrap(err, errkind.Usage, "%s %s: cannot listen; is another process using the address", e.key, e.address)
		}
		*e.to = k
	}
	local := wire.LimitByDescriptors(maxLocalConnections, localDescriptors)
	l.upstream = wire.LimitListener(l.upstream, local)
	l.admin = wire.LimitListener(l.admin, local)
	if l.ready != nil {
		l.ready = wire.LimitListener(l.ready, local)
	}
	return l, nil
}

func (l listeners) close() {
	for _, k := range []net.Listener{l.caller, l.upstream, l.peer, l.admin, l.ready} {
		if k != nil {
			k.Close()
		}
	}
}
