// Package memory divides the memory of a VM among the parts of a process.
//
// It is meant for VMs of 184 MB and more. A process takes about 25 MB before any load.
// Ordinary load takes up to 60 MB of the smallest VM, most of which is for goroutines and
// buffers of connections that hold nothing else. The connections of untrusted peers
// get a quarter of what a process leaves, and bodies that wait a fifth. The rest is for
// ordinary load, and for garbage that has not been collected.
//
// # Usage
//
//	b := budget.New(memory.ConnectionBytes(mb))
//	memory.Limit(mb)
package memory

import "runtime/debug"

const (
	// processMb is what a process takes before any load.
	processMb = 24
	// connectionShare and bodyShare are parts of the rest.
	connectionShare = 4
	bodyShare       = 5
	// maxBodyBytes is half of the 64 MB that a node may use for load.
	maxBodyBytes = 32 << 20
	// limitPercent is the part of the VM's memory in which the garbage collector tries to
	// keep the process. The rest is for the program's code and the kernel.
	limitPercent = 75
)

// ConnectionBytes returns the budget for what connections hold, in a VM of mb.
func ConnectionBytes(mb int) int64 { return int64(mb-processMb) << 20 / connectionShare }

// BodyBytes returns the memory for bodies that wait, in a VM of mb.
func BodyBytes(mb int) int64 { return min(maxBodyBytes, int64(mb-processMb)<<20/bodyShare) }

// Limit makes the garbage collector work harder before the process takes most of the
// memory of a VM of mb. It does nothing if mb is zero, which means unknown.
func Limit(mb int) {
	if mb > 0 {
		debug.SetMemoryLimit(int64(mb) << 20 * limitPercent / 100)
	}
}
