package main

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

var placeholder = regexp.MustCompile(`\{\{([A-Za-z0-9.]+)(\|json)?\}\}`)

// fillTemplate replaces the placeholders of a template of settings. It supports plain
// values and values as JSON, which is all that the templates of the project use.
func fillTemplate(text string, fields map[string]any) (string, error) {
	var failed error
	out := placeholder.ReplaceAllStringFunc(text, func(m string) string {
		g := placeholder.FindStringSubmatch(m)
		v, err := lookUp(fields, g[1])
		if err != nil {
			failed = err
			return ""
		}
		if g[2] != "" {
			b, err := json.Marshal(v)
			if err != nil {
				failed = err
			}
			return string(b)
		}
		if v == nil {
			return ""
		}
		return fmt.Sprint(v)
	})
	if failed == nil && strings.Contains(out, "{{") {
		failed = fmt.Errorf("the template has a placeholder that this platform does not know")
	}
	return out, failed
}

func lookUp(fields map[string]any, path string) (any, error) {
	var v any = fields
	for _, k := range strings.Split(path, ".") {
		switch c := v.(type) {
		case map[string]any:
			n, ok := c[k]
			if !ok {
				return nil, fmt.Errorf("no field %s", path)
			}
			v = n
		case []int:
			i, err := strconv.Atoi(k)
			if err != nil || i >= len(c) {
				return nil, fmt.Errorf("no field %s", path)
			}
			v = c[i]
		default:
			return nil, fmt.Errorf("no field %s", path)
		}
	}
	return v, nil
}
