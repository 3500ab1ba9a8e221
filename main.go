// Command gooseberrypick distributes configuration for a service mesh and
// carries its requests.
package main

import (
	"os"

	"github.com/gooseberrypick/gooseberrypick/internal/commands"
)

func main() { os.Exit(commands.Execute(os.Args[1:], os.Stdout, os.Stderr)) }
