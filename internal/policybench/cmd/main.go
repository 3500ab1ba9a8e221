// Command cmd runs the comparison of the request policies and prints the results as a
// Markdown table.
//
// # Usage
//
//	go run ./internal/policybench/cmd --seed 1 --scenario "5×5"
//	go run ./internal/policybench/cmd --zones
package main

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"sync"

	"github.com/gooseberrypick/gooseberrypick/internal/policybench"
)

// parallel bounds the concurrent runs. A run with a 20-times flood uses some hundred
// megabytes of memory.
const parallel = 4

func main() {
	seed := flag.Uint64("seed", 1, "seed of arrivals and choices")
	only := flag.String("scenario", "", "run only scenarios whose name contains this text")
	policy := flag.String("policy", "", "run only policies whose name contains this text")
	zones := flag.Bool("zones", false, "run the scenarios of uneven speeds and zones, with and without the present choice")
	flag.Parse()
	scenarios, policies, header := policybench.Scenarios(), policybench.Policies(), policybench.Header
	write := (*policybench.Result).Write
	if *zones {
		scenarios, policies = policybench.ZoneScenarios(), []policybench.Policy{policybench.Present, policybench.Production}
		header, write = policybench.ZoneHeader, (*policybench.Result).WriteZones
	}

	var results []*policybench.Result
	var g sync.WaitGroup
	slots := make(chan struct{}, parallel)
	for _, s := range scenarios {
		for _, p := range policies {
			if !strings.Contains(s.Name, *only) || !strings.Contains(p.Name, *policy) {
				continue
			}
			i := len(results)
			results = append(results, nil)
			g.Go(func() {
				slots <- struct{}{}
				defer func() { <-slots }()
				results[i] = policybench.Run(s, p, *seed)
			})
		}
	}
	g.Wait()
	fmt.Print(header)
	for _, r := range results {
		write(r, os.Stdout)
	}
}
