// Package soak runs the real programs as separate processes on loopback, injects
// faults from outside the processes, chosen by a seeded random source, and checks the
// guarantees given to callers, upstreams and operators.
//
// A Proxy between two processes delays, stalls or resets their connections, or
// blocks one direction. Signals stop, pause and kill processes, which are then
// restarted; a control may lose its disk. The checks use only what callers,
// upstreams and operators can observe. Only processes that the soak started are
// signaled, by process ID.
//
// The configuration has accounts: one without a limit, one whose keys each version
// replaces in part, and one that sends far more than its limit to all nodes. Upstreams
// leave and start again, while announcements of before they left still arrive. Rollouts
// are not covered, since operators order them through the platform's interface only.
//
// # Usage
//
// go test runs one seed. More can be run by hand, for example fifty starting with
// seed 100, four at a time:
//
//	go test ./internal/soak -run TestSoak -seeds 50 -from 100 -faults 8s -parallel 4 -timeout 60m
package soak
