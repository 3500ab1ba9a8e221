package contract_test

import (
	"fmt"
	"net"
	"os"
	"sync"
	"testing"
)

// Ports of outgoing connections come from 32768 on. A port from there can be
// taken by such a connection before the process that it is meant for opens it,
// or while that process restarts.
const firstPort, lastPort = 10000, 32000

var ports = struct {
	sync.Mutex
	next     int
	reserved []net.PacketConn
}{next: firstPort + os.Getpid()*61%(lastPort-firstPort)}

// freePorts returns the first of n successive ports that no process listens on
// and that no other run of these tests uses. The UDP port of the same number
// stands for the reservation; it ends with the test process.
func freePorts(t *testing.T, n int) int {
	t.Helper()
	ports.Lock()
	defer ports.Unlock()
	for range lastPort - firstPort {
		p := ports.next
		if p+n > lastPort {
			p = firstPort
		}
		ports.next = p + n
		if reserve(p, n) {
			return p
		}
	}
	t.Fatalf("no %d successive free ports", n)
	return 0
}

func reserve(first, n int) bool {
	var l []net.PacketConn
	for p := first; p < first+n; p++ {
		a := fmt.Sprintf("127.0.0.1:%d", p)
		u, err := net.ListenPacket("udp", a)
		if err == nil {
			l = append(l, u)
			var k net.Listener
			if k, err = net.Listen("tcp", a); err == nil {
				k.Close()
			}
		}
		if err != nil {
			for _, u := range l {
				u.Close()
			}
			return false
		}
	}
	ports.reserved = append(ports.reserved, l...)
	return true
}
