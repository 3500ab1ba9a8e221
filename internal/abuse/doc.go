// Package abuse tests what untrusted callers can do to the processes of a
// system. It starts the system's own programs on loopback addresses with lowered limits,
// sends them what no ordinary peer sends, and then checks that each process lives, that
// its memory and open descriptors stayed under a bound, and that it still answers one
// ordinary request.
//
// The tests run one after the other and check no times and no share of served requests,
// so their result does not depend on the speed of the machine. Run the package apart from
// other load, as CI does.
//
// # Usage
//
//	go test ./internal/abuse -v
//
// Each test logs the peak of the memory of its process.
package abuse
