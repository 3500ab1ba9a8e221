package contract_test

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/gooseberrypick/gooseberrypick/pkg/customer"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
	"github.com/gooseberrypick/gooseberrypick/pkg/settings"
)

var kindConstant = regexp.MustCompile(`(?m)^\t\w+ +Kind += "(\w+)"$`)

// The page for callers must list each error kind with its status, execution and retry
// interval: a caller that relies on a wrong execution runs work twice.
func TestPageOfErrorKinds(t *testing.T) {
	b, err := os.ReadFile(filepath.Join(moduleFolder, "pkg", "errkind", "errkind.go"))
	if err != nil {
		t.Fatal(err)
	}
	var want []string
	for _, m := range kindConstant.FindAllStringSubmatch(string(b), -1) {
		a := errkind.Kind(m[1]).Answer()
		retry := ""
		if a.RetryAfter > 0 {
			retry = fmt.Sprintf("%d s", int(a.RetryAfter.Seconds()))
		}
		want = append(want, fmt.Sprintf("%s %d `%s` %s", m[1], a.HTTPStatus, a.Execution, retry))
	}
	var got []string
	for _, c := range tableCells(t, "callers.md") {
		if len(c) == 5 {
			got = append(got, strings.Join(c[:4], " "))
		}
	}
	assertSameElements(t, got, want)
}

// platformFields are fields of a route that only configurations of the platform have, or
// that follow from other keys of the file.
var platformFields = map[string]bool{"Attempts": true, "Split": true, "KeyRequired": true}

// The pages must list exactly the keys that the program reads: readers do not find a
// missing key, and the program refuses a surplus one.
func TestPagesOfKeys(t *testing.T) {
	for name, types := range map[string][]any{
		"settings.md":      {settings.Node{}, settings.Control{}, settings.Client{}},
		"customer-file.md": {customer.Service{}, customer.Rank{}, customer.Route{}},
	} {
		var want, got []string
		for _, v := range types {
			for f := range reflect.TypeOf(v).Fields() {
				if !platformFields[f.Name] {
					want = append(want, f.Name)
				}
			}
		}
		if name == "customer-file.md" {
			want = append(want, "Customer", "Parameters", "Services", "Ranks", "Accounts", "Routes", "Public", "Type", "Value", "Minimum", "Maximum",
				"Name", "KeyHashes", "Rank", "RatePerSecond", "Burst") // of an account
		}
		for _, c := range tableCells(t, name) {
			got = append(got, c[0])
		}
		assertSameElements(t, got, want)
	}
}

// The operator settings of the examples must list all controls: otherwise commands
// fail when the listed controls are down, although others run.
func TestOperatorSettings(t *testing.T) {
	for _, example := range []string{"pichler", "vineta-norte"} {
		folder := filepath.Join(moduleFolder, "examples", example)
		c, err := settings.ReadClient(filepath.Join(folder, "operator.jsonc"))
		if err != nil {
			t.Fatal(err)
		}
		var want []string
		l, _ := filepath.Glob(filepath.Join(folder, "vms", "control-*.jsonc")) // the pattern is valid
		for _, f := range l {
			k, err := settings.ReadControl(f)
			if err != nil {
				t.Fatal(err)
			}
			want = append(want, k.Listen)
		}
		assertSameElements(t, c.Control, want)
	}
}

// Each metric and log line on the page must exist: an alert on one that does not
// would never fire.
func TestPageOfLogsAndMetrics(t *testing.T) {
	source := readSources(t)
	n := 0
	for _, c := range tableCells(t, "logs-and-metrics.md") {
		n++
		name, metric := strings.CutPrefix(c[0], "gooseberrypick_")
		if metric && !strings.Contains(source, `"`+name+`"`) && !strings.Contains(source, `"`+name+"{") ||
			!metric && !strings.Contains(source, `"`+name+`"`) {
			t.Errorf("%s is on the page, but not in the program", c[0])
		}
	}
	if n == 0 {
		t.Error("the page has no tables")
	}
}

// readSources returns the source of the internal packages without their tests.
func readSources(t *testing.T) string {
	t.Helper()
	var s strings.Builder
	err := filepath.WalkDir(filepath.Join(moduleFolder, "internal"), func(name string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
			return err
		}
		b, err := os.ReadFile(name)
		s.Write(b)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return s.String()
}

func assertSameElements(t *testing.T, got, want []string) {
	t.Helper()
	slices.Sort(got)
	slices.Sort(want)
	if !slices.Equal(got, want) {
		for _, k := range got {
			if !slices.Contains(want, k) {
				t.Errorf("surplus: %s", k)
			}
		}
		for _, k := range want {
			if !slices.Contains(got, k) {
				t.Errorf("missing: %s", k)
			}
		}
		t.Errorf("got %d, want %d", len(got), len(want))
	}
}
