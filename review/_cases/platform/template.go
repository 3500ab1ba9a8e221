package main

import (
	"encoding/json"
	"fmt"
	"os"
	"regexp"
	"strings"
)

// fields are the settings of one machine, under the names of the users' pages.
type fields map[string]any

// lookup returns the value at a dotted path such as "Limits.MemoryMb".
func (f fields) lookup(path string) any {
	var v any = map[string]any(f)
	for k := range strings.SplitSeq(path, ".") {
		switch t := v.(type) {
		case map[string]any:
			v = t[k]
		case []any:
			i := 0
			if _, err := fmt.Sscanf(k, "%d", &i); err != nil || i >= len(t) {
				return nil
			}
			v = t[i]
		default:
			return nil
		}
	}
	return v
}

var (
	section     = regexp.MustCompile(`\{\{#([\w.]+)\}\}(.*?)\{\{/[\w.]+\}\}`)
	placeholder = regexp.MustCompile(`\{\{([\w.]+)(\|json)?\}\}`)
)

// render fills in a template of settings as the platform does.
func render(template string, f fields) (string, error) {
	b, err := os.ReadFile(template)
	if err != nil {
		return "", err
	}
	s := section.ReplaceAllStringFunc(string(b), func(s string) string {
		m := section.FindStringSubmatch(s)
		if f.lookup(m[1]) == nil {
			return ""
		}
		return m[2]
	})
	s = placeholder.ReplaceAllStringFunc(s, func(s string) string {
		m := placeholder.FindStringSubmatch(s)
		v := f.lookup(m[1])
		if m[2] == "" {
			return fmt.Sprint(v)
		}
		j, e := json.Marshal(v)
		if e != nil {
			err = e
		}
		return string(j)
	})
	return s, err
}
