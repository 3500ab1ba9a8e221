// Command cmd runs the comparison of the request policies and prints the results as a
// Markdown table.
//
// # Usage
//
//	go run ./internal/policybench/cmd --seed 1 --scenario "5×5"
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
	flag.Parse()

	var results []*policybench.Result
	var g sync.WaitGroup
	slots := make(chan struct{}, parallel)
	for _, s := range policybench.Scenarios() {
		for _, p := range policybench.Policies() {
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
	fmt.Print(policybench.Header)
	for _, r := range results {
		r.Write(os.Stdout)
	}
}
