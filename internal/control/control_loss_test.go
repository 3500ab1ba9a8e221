package control

import (
	"fmt"
	"testing"
	"time"
)

// Two controls that lose power at the same moment must not keep a node on an
// older version while it tries them one after the other.
func TestTwoControlsVanish(t *testing.T) {
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
		w.waitFor(3*time.Second, "at the control that is left", at(v, "c"))
		v = w.accept(newCustomer("x", 2), "c")
		w.waitFor(time.Second, "at the new version", at(v, "c"))
	})
}
