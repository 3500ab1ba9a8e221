package commands

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"github.com/gooseberrypick/gooseberrypick/internal/operator"
	"github.com/gooseberrypick/gooseberrypick/internal/versions"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// backend implements operator.Backend with a state machine that is not replicated.
type backend struct {
	*versions.StateMachine
	nodes []operator.Node
	// caughtUpAt is the time at which all nodes get the latest version in force.
	caughtUpAt time.Time
	notCurrent bool
}

func (b *backend) Plan(_ context.Context, r operator.PlanRequest) (operator.Plan, error) {
	return operator.NewPlan(b.Current(), r)
}

func (b *backend) Accept(_ context.Context, author string, r operator.AcceptRequest) (operator.Accepted, error) {
	c, err := operator.Compile(author, r, time.Now())
	if err != nil {
		return operator.Accepted{}, err
	}
	d, _ := c.Encode()
	x := b.Apply(1, d).(versions.Result)
	v, err := x.Outcome()
	return operator.Accepted{Version: v, Customer: c.Customer, Base: r.Base, RequestID: r.RequestID, Repeated: x.Repeated}, err
}

func (b *backend) Forget(_ context.Context, r operator.ForgetRequest) (operator.Forgotten, error) {
	f, err := operator.NewForgotten(r, b.Nodes(), b.nodes, []operator.Member{{Name: "control-2", Role: operator.Unreachable}}, time.Now().Add(-time.Minute))
	if err == nil {
		c, _ := versions.ForgetNodes{Names: f.Removed}.Encode()
		b.Apply(1, c)
	}
	return f, err
}

func (b *backend) Status(context.Context) (operator.Status, error) {
	v := b.Current().Version()
	for i := range b.nodes {
		if !b.caughtUpAt.IsZero() && !time.Now().Before(b.caughtUpAt) {
			b.nodes[i].Version = v
		}
	}
	return operator.Status{
		Control: "control-1", Current: !b.notCurrent, Version: v,
		Members: []operator.Member{{Name: "control-1", AvailabilityZone: "a", Role: "Leader", Current: true}, {Name: "control-2", Role: "Failed", Reason: "entry 7"}},
		Nodes:   operator.NewNodes(b.Nodes(), b.nodes, v),
	}, nil
}

func (b *backend) Report(_ context.Context, r operator.ReportRequest) (operator.Report, error) {
	counts := wire.RankCounts{Answers: 30_000, InTarget: 29_999, Overload: 2, Caller: 7, Unknown: 1, Worth: 299_990}
	a, err := operator.NewReport(r, b.Current(), &wire.RankTotals{Nodes: 2, Ranks: []wire.RankTotal{
		{RankStats: wire.RankStats{RankCounts: wire.RankCounts{Caller: 3}}},
		{RankStats: wire.RankStats{Customer: "pichler", Rank: "before", RankCounts: wire.RankCounts{Unavailable: 1}}},
		{RankStats: wire.RankStats{Customer: "pichler", Rank: "operation", RankCounts: counts}, PerSecond: wire.RankRates{Requests: 8, InTarget: 4, Worth: 40}},
	}})
	a.Control, a.Known, a.Silent, a.Current = "control-1", 3, []string{"control-2"}, !b.notCurrent
	return a, err
}

func (b *backend) History(_ context.Context, r operator.HistoryRequest) (operator.History, error) {
	return operator.NewHistory(b.Current(), r), nil
}

func (b *backend) Version(_ context.Context, r operator.VersionRequest) (operator.Version, error) {
	return operator.NewVersion(b.Current(), r)
}

// pipeListener is a listener of in-memory connections: synctest cannot wait for
// network connections.
type pipeListener chan net.Conn

func (p pipeListener) Accept() (net.Conn, error) {
	if c, ok := <-p; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}

func (p pipeListener) Close() error   { return nil }
func (p pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

type loopback struct{ net.Conn }

func (loopback) RemoteAddr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 4000} }

// fleet is a stand-in for the controls; run runs a command against it.
type fleet struct {
	backend *backend
	handler http.Handler
	pipes   pipeListener
	// down refuses connections; loseAnswers closes them after the request ran.
	down, loseAnswers bool
}

func newFleet(t *testing.T, o ...operator.Operator) *fleet {
	t.Helper()
	b := &backend{StateMachine: versions.New()}
	h, err := operator.NewHandler(operator.HandlerConfig{Backend: b, Operators: o, Log: logr.Discard()})
	if err != nil {
		t.Fatal(err)
	}
	f := &fleet{backend: b, handler: h, pipes: make(pipeListener)}
	s := operator.NewServer(f)
	go s.Serve(f.pipes)
	t.Cleanup(func() {
		close(f.pipes)
		s.Close()
	})
	return f
}

// ServeHTTP implements http.Handler.
func (f *fleet) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !f.loseAnswers {
		f.handler.ServeHTTP(w, r)
		return
	}
	f.handler.ServeHTTP(httptest.NewRecorder(), r)
	panic(http.ErrAbortHandler)
}

func (f *fleet) run(t *testing.T, args ...string) (code int, stdout, stderr string) {
	t.Helper()
	dial := func(context.Context, string, string) (net.Conn, error) {
		if f.down {
			return nil, &net.OpError{Op: "dial", Err: errkind.New(errkind.ConnectFailed, "connection refused")}
		}
		c, s := net.Pipe()
		f.pipes <- loopback{s}
		return c, nil
	}
	var o, e bytes.Buffer
	code = execute(t.Context(), dial, args, &o, &e)
	return code, o.String(), e.String()
}

func writeFile(t *testing.T, name, content string) string {
	t.Helper()
	f := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(f, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return f
}

const (
	pichler   = "../../examples/pichler/customer.jsonc"
	toControl = "--control=10.0.0.1:1"
	// A request that was never sent must not be reported as an unknown outcome.
	unreachable = `^Error: no control answered \([^\n]*\); check the addresses[^\n]*run\n$`
)

// Checks the exit code and output of the operator commands. A wrong exit code would
// make a script continue after a refusal; a missing message would leave the operator
// without the next step.
func TestCommands(t *testing.T) {
	changed := writeFile(t, "changed.jsonc", `{"Customer": "pichler", "Services": [{"Name": "level-display", "Slots": 1, "Connections": 1}, {"Name": "new", "Slots": 1, "Connections": 1}],
		"Ranks": [{"Name": "operation", "Order": 1, "Target": "1s", "Worth": 1}], "Routes": []}`)
	invalid := writeFile(t, "invalid.jsonc", `{"Customer": "p", "Bad": 1}`)
	for name, tc := range map[string]struct {
		args           []string
		code           int
		stdout, stderr string // regular expressions
	}{
		"validate":         {[]string{"validate", pichler}, 0, `customer pichler with 3 services`, `^$`},
		"validate JSON":    {[]string{"validate", pichler, "--output", "json"}, 0, `"Customer": "pichler",\n  "Services": 3,`, `^$`},
		"validate invalid": {[]string{"validate", invalid}, 1, `^$`, `(?s)not valid:\n.*invalid.jsonc:1:19: Bad: unknown key`},
		"validate missing": {[]string{"validate", "none.jsonc"}, 2, `^$`, `none.jsonc: no such file`},
		"plan":             {[]string{"plan", pichler, toControl}, 0, `(?s)pichler \(newest version 1\).*Services: no change.*changes nothing.*Base: 1\n.*  gooseberrypick accept \S+ --base 1 --control 10.0.0.1:1\n`, `^$`},
		"plan of changes": {[]string{"plan", changed, toControl}, 0, `Services: 1 added, 1 changed, 2 removed
  \+ new
  ~ level-display
      Slots: 20 -> 1
      Connections: 100 -> 1
      ColdStart: 2s -> 0s
  - alarm-handling
  - survey-archive
Ranks: 0 added, 1 changed, 2 removed
  ~ operation
      Order: 2 -> 1
      Target: 250ms -> 1s
      Worth: 50 -> 1
      Floor: 0\.2 -> 0
  - archive
  - level-reading
Routes: 0 added, 0 changed, 4 removed
  - GET levels`, `^$`},
		"plan invalid":         {[]string{"plan", invalid, toControl}, 1, `^$`, `(?s)run plan again:\n.*:1:19: Bad`},
		"accept":               {[]string{"accept", pichler, toControl, "--base=1"}, 0, `(?s)Version 2 of customer pichler was accepted \(base 1, request ID \w{26}\).*status --wait 10s --control 10.0.0.1:1`, `^Request ID: \w{26}\n$`},
		"accept resent":        {[]string{"accept", pichler, toControl, "--base=0", "--request-id=first"}, 0, `Version 1 .* by an earlier request`, `^$`},
		"accept JSON":          {[]string{"accept", pichler, toControl, "--base=1", "--output=json"}, 0, `"Version": 2,(?s).*"RequestId": "\w{26}"`, `^$`},
		"accept conflict":      {[]string{"accept", pichler, toControl, "--base=0"}, 1, `^$`, `version 1 was accepted by loopback at .*; run plan again`},
		"accept conflict JSON": {[]string{"accept", pichler, toControl, "--base=0", "--output=json", "--request-id=x"}, 1, `^$`, `^\{\n  "Kind": "Conflict",(?s).*"RequestId": "x",\n  "Execution": "not-run"\n\}\n$`},
		"accept without base":  {[]string{"accept", pichler, toControl}, 2, `^$`, `"base" not set; run with --help`},
		"accept reused ID":     {[]string{"accept", pichler, toControl, "--base=1", "--request-id=first"}, 1, `^$`, `use a new request ID`},
		"history":              {[]string{"history", toControl}, 0, `VERSION  TIME .*REQUEST ID\n1 .* loopback  pichler   0     3 .*  first\n`, `^$`},
		"history of another":   {[]string{"history", toControl, "--customer=p"}, 0, `Customer p has no version`, `^$`},
		"show":                 {[]string{"show", toControl}, 0, `^// Pichler`, `VERSION +1\n`},
		"show customer JSON":   {[]string{"show", toControl, "--customer=pichler", "--output=json"}, 0, `"FileKept": true`, `^$`},
		"show missing":         {[]string{"show", toControl, "--version=9"}, 1, `^$`, `version 9 does not exist; the latest is 1`},
		"status":               {[]string{"status", toControl}, 0, `(?s)Latest version: 1, confirmed.*Nodes: 0 known.*control-1  a     Leader  yes\ncontrol-2  -     Failed  no\nControl control-2: entry 7\n`, `^$`},
		"report": {[]string{"report", toControl}, 0, `(?s)2 of 3 known nodes counted.*No answer from control-2;.*
CUSTOMER +ORDER +RANK +TARGET +REQUESTS +IN TARGET +SHARE +WORTH EARNED +UNKNOWN +REFUSED +NOW +REQUESTS/S +SHARE +WORTH/S
pichler +1 +level-reading +100ms +0 +0 +- +0.0 +0 +0 +0.0 +- +0.0
pichler +2 +operation +250ms +30003 +29999 +99.98% +299990.0 +1 +9 \(overload 2, caller 7\) +8.0 +50.00% +40.0
pichler +3 +archive .*
pichler +- +before +- +1 +0 +0.00% +0.0 +0 +1 \(unavailable 1\) +0.0 +- +0.0
- +- +- +- +0 +0 +- +0.0 +0 +3 \(caller 3\) +0.0 +- +0.0
$`, `^$`},
		"report JSON":            {[]string{"report", toControl, "--customer=pichler", "--output=json"}, 0, `(?s)"Requests": 30003,.*"ShareInTarget": 0.99986.*"Overload": 2,`, `^$`},
		"report of another":      {[]string{"report", toControl, "--customer=p"}, 1, `^$`, `customer "p" has no version and no requests`},
		"no control":             {[]string{"status"}, 2, `^$`, `pass --control HOST:PORT`},
		"control as URL":         {[]string{"status", "--control=http://h:1"}, 2, `^$`, `is not HOST:PORT`},
		"unknown flag":           {[]string{"status", "--no"}, 2, `^$`, `unknown flag: --no`},
		"unknown command":        {[]string{"stauts"}, 2, `^$`, `unknown command "stauts"`},
		"missing argument":       {[]string{"plan", toControl}, 2, `^$`, `accepts 1 arg`},
		"surplus argument":       {[]string{"history", "x", toControl}, 2, `^$`, `unknown command "x"`},
		"accept while down":      {[]string{"accept", pichler, toControl, "--base=1", "--request-id=x"}, 3, `^$`, unreachable},
		"status while down":      {[]string{"status", toControl}, 3, `^$`, unreachable},
		"wait while down":        {[]string{"status", toControl, "--wait=1s"}, 3, `^$`, unreachable},
		"output":                 {[]string{"status", toControl, "--output=yaml"}, 2, `^$`, `expected text or json`},
		"version and customer":   {[]string{"show", toControl, "--version=1", "--customer=p"}, 2, `^$`, `none of the others can be`},
		"settings of a process":  {[]string{"status", "--settings", invalid}, 2, `^$`, `invalid.jsonc:1:1: Control: missing required key`},
		"process without a file": {[]string{"control"}, 2, `^$`, `"settings" not set`},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t)
			if code, _, e := f.run(t, "accept", pichler, toControl, "--base=0", "--request-id=first"); code != 0 {
				t.Fatal(e)
			}
			f.down = strings.HasSuffix(name, "while down")
			code, o, e := f.run(t, tc.args...)
			if code != tc.code || !regexp.MustCompile(tc.stdout).MatchString(o) || !regexp.MustCompile(tc.stderr).MatchString(e) {
				t.Errorf("%s:\ngot  %d %q %q\nwant %d %q %q", name, code, o, e, tc.code, tc.stdout, tc.stderr)
			}
		})
	}
}

// The resend command must work as printed, also with a file name that needs
// quoting. Otherwise the operator would have to guess and could accept the file
// twice or not at all.
func TestResendCommandWorks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, file := newFleet(t), writeFile(t, "it's a file.jsonc", `{"Customer": "p", "Services": [], "Ranks": [{"Name": "r", "Order": 1, "Target": "1s", "Worth": 1}], "Routes": []}`)
		f.loseAnswers = true
		code, _, e := f.run(t, "accept", file, toControl, "--base=0")
		m := regexp.MustCompile(`the version may exist(?s).*\n  gooseberrypick (.*)\n$`).FindStringSubmatch(e)
		if code != 3 || m == nil {
			t.Fatalf("got %d %q, want a resend command", code, e)
		}
		f.loseAnswers = false
		args := regexp.MustCompile(`'[^']*'|\S+`).FindAllString(strings.ReplaceAll(m[1], `'\''`, "\x00"), -1)
		for i, a := range args {
			args[i] = strings.ReplaceAll(strings.Trim(a, "'"), "\x00", "'")
		}
		code, o, e := f.run(t, args...)
		if code != 0 || !strings.Contains(o, "Version 1 of customer p was accepted by an earlier request") {
			t.Errorf("%q: got %d %q %q, want version 1", args, code, o, e)
		}
	})
}

// A running node must not be forgotten, since status would no longer show it.
// Repeating the command after a lost answer must be safe.
func TestForget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		b, _ := versions.RememberNodes{Nodes: []versions.Node{{Name: "live"}, {Name: "old"}, {Name: "gone 1"}, {Name: "gone-2"}}}.Encode()
		f.backend.Apply(1, b)
		f.backend.nodes = []operator.Node{
			{Name: "live", Control: "control-1", LastHeard: time.Now()},
			{Name: "old", Control: "control-1", LastHeard: time.Now().Add(-time.Hour)},
		}
		const silent = "No answer from control-2"
		for _, step := range []struct {
			args   []string
			lose   bool
			code   int
			output string
		}{
			{args: []string{"status"}, output: "Nodes not heard from: 2. One that no longer exists can be removed from this list:\n  gooseberrypick forget NODE --control 10.0.0.1:1\n"},
			{args: []string{"forget", "gone-2", "live"}, code: 1, output: "heard from just now: live (by control-1)"},
			{args: []string{"status"}, output: "Nodes not heard from: 2"},
			{args: []string{"forget", "gone-2"}, lose: true, code: 3, output: "run the same command again"},
			{args: []string{"forget", "gone-2", "gone 1", "old"}, output: "Removed: gone 1, old\nNot on the list: gone-2\n" + silent},
			{args: []string{"forget", "gone-2", "gone 1"}, output: "Not on the list: gone 1, gone-2\n" + silent},
			{args: []string{"status"}, output: "Nodes: 2 known"},
			{args: []string{"forget"}, code: 2, output: "requires at least 1 arg"},
			{args: []string{"forget", ""}, code: 2, output: "has 0 bytes"},
		} {
			f.loseAnswers = step.lose
			code, o, e := f.run(t, append(step.args, toControl)...)
			if code != step.code || !strings.Contains(o+e, step.output) {
				t.Errorf("%q: got %d %q, want %d %q", step.args, code, o+e, step.code, step.output)
			}
		}
		if l := f.backend.Nodes(); len(l) != 1 || l[0].Name != "live" {
			t.Errorf("got nodes %v, want live alone", l)
		}
	})
}

// status --wait must fail while a node lags or while newer versions may exist.
// Otherwise the operator would believe that the fleet has caught up.
func TestStatusWait(t *testing.T) {
	for name, tc := range map[string]struct {
		nodes      []operator.Node
		caughtUp   time.Duration
		silent     string
		notCurrent bool
		code       int
		stderr     string
	}{
		"caught up":        {nodes: []operator.Node{{Name: "n1", Version: 1}}},
		"in time":          {nodes: []operator.Node{{Name: "n1"}}, caughtUp: 9 * time.Second},
		"too late":         {nodes: []operator.Node{{Name: "n1"}}, caughtUp: 11 * time.Second, code: 1, stderr: "n1: version 0, behind by 1"},
		"refused":          {nodes: []operator.Node{{Name: "n1", Refused: 1, Reason: "digest\x1b[2J"}}, code: 1, stderr: "n1: version 0 in force, refused at version 1: digest?[2J\n"},
		"other lineage":    {nodes: []operator.Node{{Name: "n1", Version: 1, Refused: 1, Reason: "lineage"}}, code: 1, stderr: "n1: version 1 in force, refused at version 1: lineage\n"},
		"ahead":            {nodes: []operator.Node{{Name: "n1", Version: 2}}},
		"older report":     {nodes: []operator.Node{{Name: "n1", LastHeard: time.Unix(2, 0)}, {Name: "n1", Version: 1, LastHeard: time.Unix(1, 0)}}, code: 1, stderr: "1 of 1 nodes did not have version 1 in force within 10s:\n  n1: version 0"},
		"newer report":     {nodes: []operator.Node{{Name: "n1", LastHeard: time.Unix(1, 0)}, {Name: "n1", Version: 1, LastHeard: time.Unix(2, 0)}}},
		"never heard from": {silent: "n2", nodes: []operator.Node{{Name: "n1", Version: 1}}, code: 1, stderr: "1 of 2 nodes did not have version 1 in force within 10s:\n  n2: not heard from"},
		"not current":      {notCurrent: true, nodes: []operator.Node{{Name: "n1", Version: 1}}, code: 1, stderr: "could not confirm"},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t)
			f.run(t, "accept", pichler, toControl, "--base=0")
			f.backend.nodes, f.backend.notCurrent = tc.nodes, tc.notCurrent
			if tc.caughtUp != 0 {
				f.backend.caughtUpAt = time.Now().Add(tc.caughtUp)
			}
			if tc.silent != "" {
				b, _ := versions.RememberNodes{Nodes: []versions.Node{{Name: tc.silent}}}.Encode()
				f.backend.Apply(1, b)
			}
			start := time.Now()
			code, _, e := f.run(t, "status", "--wait=10s", toControl)
			if code != tc.code || !strings.Contains(e, tc.stderr) || (e == "") != (tc.stderr == "") {
				t.Errorf("%s: got %d %q, want %d %q", name, code, e, tc.code, tc.stderr)
			}
			if d := time.Since(start); d > 10*time.Second || (tc.code != 0 && d < 10*time.Second) {
				t.Errorf("%s: waited %s", name, d)
			}
		})
	}
}

// The token file in the settings must be read and its token sent, or the operator
// has no access. A file that does not hold a token must not be sent.
func TestSettingsFile(t *testing.T) {
	hash := sha256.Sum256([]byte("secret"))
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, operator.Operator{Name: "anna", TokenHash: hex.EncodeToString(hash[:])})
		token, bad := writeFile(t, "token", "secret\n"), writeFile(t, "bad", "two words")
		settings := filepath.Join(filepath.Dir(token), "settings.jsonc")
		os.WriteFile(settings, []byte(`{"Control": ["10.0.0.1:1"], "TokenFile": "token"} // relative`), 0o600)
		for want, args := range map[int][]string{
			0: {"accept", pichler, "--base=0", "--settings", settings, "--output=json"},
			1: {"accept", pichler, "--base=0", toControl},
			2: {"accept", pichler, "--base=0", "--settings", settings, "--token-file", bad},
		} {
			if code, _, e := f.run(t, args...); code != want {
				t.Errorf("%q: got %d %s, want %d", args, code, e, want)
			}
		}
		_, o, _ := f.run(t, "history", "--settings", settings, "--output=json")
		var h operator.History
		if err := json.Unmarshal([]byte(o), &h); err != nil || len(h.Versions) != 1 || h.Versions[0].Author != "anna" {
			t.Errorf("got %s, want one version by anna", o)
		}
	})
}
