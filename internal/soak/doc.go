// Package soak runs the real programs as separate processes on loopback, injects
// seeded faults from outside them, and checks what callers, upstreams and
// operators were promised.
//
// A Proxy stands between processes and delays, resets, silences or cuts
// connections one way. Signals stop, pause, kill and restart processes; a control
// may lose its disk. The checks use only what callers, upstreams and operators
// see. Only processes that the soak started are signaled, by their IDs.
//
// # Usage
//
// One seed runs with the tests; more by hand, for example fifty from seed 100 on,
// four at a time:
//
//	go test ./internal/soak -run TestSoak -seeds 50 -from 100 -parallel 4 -timeout 60m
package soak
