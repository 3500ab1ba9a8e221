package settings_test

import (
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
	"github.com/gooseberrypick/gooseberrypick/pkg/settings"
)

const node = `{
"Name": "n-1",
"AvailabilityZone": "a",
"Listen": "127.0.0.1:1",
"UpstreamListen": "127.0.0.1:2",
"PeerListen": "127.0.0.1:3",
"AdminListen": "127.0.0.1:4",
"Control": ["127.0.0.1:5"],
}`

const control = `{
"Name": "c-1",
"AvailabilityZone": "a",
"Listen": "127.0.0.1:1",
"PeerListen": "127.0.0.1:2",
"AdminListen": "127.0.0.1:3",
"Members": [
{"Name": "c-1", "Address": "127.0.0.1:2"}
],
"DataFolder": "data",
}`

// Guards against a process that starts with a bad setting and fails later, where the
// cause is harder to find. Each fault must be reported with its key before the start.
func TestFaults(t *testing.T) {
	const hash = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"
	hostPort := `expected IP:port such as "127.0.0.1:8080"`
	for name, c := range map[string]struct{ base, old, replacement, want string }{
		"syntax":               {node, `"n-1"`, `n-1`, `f:2:9: file: invalid literal "n-1"; expected JSON with comments`},
		"unknown key":          {node, `"Listen"`, `"Lisen"`, "f:1:1: Listen: missing required key; expected a string\n" + `f:4:1: Lisen: unknown key; expected "Listen"`},
		"wrong type":           {node, `["127.0.0.1:5"]`, `"127.0.0.1:5"`, `f:8:12: Control: wrong type string; expected a list`},
		"bad name":             {node, `n-1`, `n 1`, `f:2:9: Name: bad name "n 1"; expected 1 to 100 letters, digits, dots and dashes`},
		"empty zone":           {node, `"a"`, `""`, `f:3:21: AvailabilityZone: bad name ""; expected 1 to 100 letters, digits, dots and dashes`},
		"host name":            {node, `127.0.0.1:2`, `localhost:2`, `f:5:19: UpstreamListen: bad address "localhost:2"; ` + hostPort},
		"port 0":               {node, `127.0.0.1:5`, `127.0.0.1:0`, `f:8:13: Control[0]: bad address "127.0.0.1:0"; ` + hostPort},
		"port too large":       {node, `127.0.0.1:4`, `127.0.0.1:65536`, `f:7:16: AdminListen: bad address "127.0.0.1:65536"; ` + hostPort},
		"unspecified peer":     {node, `127.0.0.1:3`, `0.0.0.0:3`, `f:6:15: PeerListen: address "0.0.0.0:3" cannot be reached by others; expected the IP of one interface`},
		"same address":         {node, `127.0.0.1:4`, `127.0.0.1:2`, `f:7:16: AdminListen: same address as UpstreamListen; expected an address of its own`},
		"no control":           {node, `"127.0.0.1:5"`, ``, `f:8:12: Control: empty; expected the address of at least one control`},
		"same control":         {node, `["`, `["127.0.0.1:5", "`, `f:8:28: Control[1]: duplicate address "127.0.0.1:5"; expected unique addresses`},
		"log level":            {node, `"Control"`, `"LogLevel": "warn", "Control"`, `f:8:13: LogLevel: unknown level "warn"; expected one of "debug", "info", "error"`},
		"stop limit":           {node, `"Control"`, `"StopLimit": "0s", "Control"`, `f:8:14: StopLimit: 0s is out of range; expected a duration above 0`},
		"zone price":           {node, `"Control"`, `"ZonePrice": -1, "Control"`, `f:8:14: ZonePrice: -1 is out of range; expected a number from 0 to 1000000000`},
		"bad duration":         {node, `"Control"`, `"StopLimit": "30", "Control"`, `f:8:14: StopLimit: bad duration "30"; expected a duration such as "1m30s"`},
		"TLS without key":      {node, `"Control"`, `"TLS": {"Certificate": "c", "Authority": "a"}, "Control"`, `f:8:8: TLS.Key: missing required key; expected a string`},
		"TLS of an empty name": {control, `"DataFolder"`, `"TLS": {"Certificate": "c", "Key": "", "Authority": "a"}, "DataFolder"`, `f:10:36: TLS.Key: empty; expected a file in PEM`},
		"pprof":                {node, `"Control"`, `"Pprof": 1, "Control"`, `f:8:10: Pprof: wrong type number; expected true or false`},
		"two members":          {control, "}\n],", `}, {"Name": "c-2", "Address": "127.0.0.1:4"}],`, `f:7:12: Members: 2 members; expected 1, 3 or 5 members`},
		"same member":          {control, "}\n],", `}, {"Name": "c-1", "Address": "127.0.0.1:4"}, {"Name": "c-3", "Address": "127.0.0.1:5"}],`, `f:8:53: Members[1].Name: duplicate name "c-1"; expected unique names`},
		"same member address":  {control, "}\n],", `}, {"Name": "c-2", "Address": "127.0.0.1:4"}, {"Name": "c-3", "Address": "127.0.0.1:4"}],`, `f:8:114: Members[2].Address: duplicate address "127.0.0.1:4"; expected unique addresses`},
		"not a member":         {control, `{"Name": "c-1"`, `{"Name": "c-2"`, `f:7:12: Members: no member named "c-1"; expected this control among its members`},
		"other member address": {control, `"Address": "127.0.0.1:2"`, `"Address": "127.0.0.1:9"`, `f:8:28: Members[0].Address: "127.0.0.1:9" differs from this control's PeerListen; expected "127.0.0.1:2"`},
		"empty folder":         {control, `"data"`, `""`, `f:10:15: DataFolder: empty; expected a folder`},
		"short hash":           {control, `"DataFolder"`, `"Operators": [{"Name": "o", "TokenHash": "secret"}], "DataFolder"`, `f:10:42: Operators[0].TokenHash: not a SHA-256 hash; expected 64 hex digits`},
		"same operator":        {control, `"DataFolder"`, `"Operators": [{"Name": "o", "TokenHash": "` + hash + `"}, {"Name": "o", "TokenHash": "` + hash + `"}], "DataFolder"`, `f:10:120: Operators[1].Name: duplicate name "o"; expected unique names`},
		"claim groups":         {control, `"DataFolder"`, `"ClaimGroups": 65, "DataFolder"`, `f:10:16: ClaimGroups: 65 is out of range; expected a whole number from 1 to 64`},
		"claim retention":      {control, `"DataFolder"`, `"ClaimRetention": "59m", "DataFolder"`, `f:10:19: ClaimRetention: 59m0s is out of range; expected at least 1h`},
		"limit tolerance": {
			control, `"DataFolder"`, `"LimitTolerance": {"Window": "0s", "Share": 0.1, "Requests": 20}, "DataFolder"`,
			`f:10:19: LimitTolerance: Window 0s, Share 0.1, Requests 20 is out of range; expected a Window above 0, at most 1m, a Share from 0 to 1 and Requests from 0 to 10000`,
		},
	} {
		t.Run(name, func(t *testing.T) {
			data := []byte(strings.Replace(c.base, c.old, c.replacement, 1))
			var err error
			if c.base == node {
				_, err = settings.ParseNode("f", data)
			} else {
				_, err = settings.ParseControl("f", data)
			}
			if err == nil || err.Error() != c.want || errkind.Of(err) != errkind.Usage {
				t.Errorf("\ngot  %v (kind %s)\nwant %s", err, errkind.Of(err), c.want)
			}
		})
	}
}

// Guards against zero as the value of an absent optional key, with which a process
// would stop at once or keep no claims.
func TestDefaults(t *testing.T) {
	n, err := settings.ParseNode("f", []byte(node))
	assertNoError(t, err)
	if n.LogLevel != "info" || n.Pprof || n.StopLimit != 30*time.Second {
		t.Errorf("got %+v, want the defaults of a node", n)
	}
	c, err := settings.ParseControl("f", []byte(control))
	assertNoError(t, err)
	if c.LogLevel != "info" || c.Pprof || c.StopLimit != 30*time.Second || c.ClaimGroups != 2 || c.ClaimRetention != 24*time.Hour {
		t.Errorf("got %+v, want the defaults of a control", c)
	}
}

// Guards against paths that are resolved against the working folder, which differs if a
// supervisor starts the process elsewhere.
func TestFilePathsRelativeToSettings(t *testing.T) {
	const files = `"TLS": {"Certificate": "c", "Key": "../k", "Authority": "/a"}, "Control"`
	n, err := settings.ParseNode("/etc/mesh/n.jsonc", []byte(strings.Replace(node, `"Control"`, files, 1)))
	assertNoError(t, err)
	if got, want := n.TLS, (settings.TLS{Certificate: "/etc/mesh/c", Key: "/etc/k", Authority: "/a"}); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	c, err := settings.ParseClient("/etc/mesh/c.jsonc", []byte(`{"Control": ["127.0.0.1:1"], "Authority": "a"}`))
	assertNoError(t, err)
	if got, want := c.Authority, "/etc/mesh/a"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

// Guards against a missing file that is reported as an internal error instead of a
// usage error.
func TestReadMissingFile(t *testing.T) {
	_, err := settings.ReadNode(filepath.Join(t.TempDir(), "none.jsonc"))
	if got, want := errkind.Of(err), errkind.Usage; got != want {
		t.Errorf("got kind %s, want %s", got, want)
	}
}
