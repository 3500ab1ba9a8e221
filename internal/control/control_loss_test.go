package control

import (
	"fmt"
	"testing"
	"time"
)

// If two controls lose power at the same time, nodes must not stay on an older version
// while they try to reach both, one after the other.
func TestTwoControlsLost(t *testing.T) {
	runCluster(t, memberNames, func(w *testCluster) {
		v := w.accept(newCustomer("x", 1))
		for i := range 10 {
			w.startNode(fmt.Sprint("n", i), memberNames...)
		}
		at := func(v uint64, control string) func() bool {
			return func() bool {
				for _, n := range w.nodes {
					if n.Table().Version() != v || control != "" && n.Control() != control {
						return false
					}
				}
				return true
			}
		}
		w.waitFor(10*time.Second, "in force", at(v, ""))
		for _, c := range []string{"a", "b"} {
			w.controls[c].source.current.Store(false)
			w.net.cut(c, anyProcess)
		}
		w.waitFor(3*time.Second, "at the remaining control", at(v, "c"))
		v = w.accept(newCustomer("x", 2), "c")
		w.waitFor(time.Second, "at the new version", at(v, "c"))
	})
}
