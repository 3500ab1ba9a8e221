// Command standin3 plays the cases of the third review.
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) < 4 {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE ROOT RECORD")
		os.Exit(2)
	}
	f, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(2)
	}
	os.Exit(f(os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0"))
}

// cases holds the cases by name. Each returns the exit status.
var cases = map[string]func(root, record string, trouble bool) int{}
