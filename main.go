// Command gooseberrypick distributes the configuration of a service mesh and routes
// its requests.
package main

import (
	"os"

	"github.com/gooseberrypick/gooseberrypick/internal/commands"
)

func main() { os.Exit(commands.Execute(os.Args[1:], os.Stdout, os.Stderr)) }
