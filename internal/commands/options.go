package commands

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"regexp"
	"strings"
	"unicode/utf8"

	"github.com/spf13/cobra"

	"github.com/gooseberrypick/gooseberrypick/internal/mtls"
	"github.com/gooseberrypick/gooseberrypick/internal/operator"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
	"github.com/gooseberrypick/gooseberrypick/pkg/settings"
)

const (
	outputText = "text"
	outputJSON = "json"
	// maxTokenBytes bounds a token file, so that another file passed by mistake is
	// not sent to a control.
	maxTokenBytes = 4096
)

// options holds the flags that the operator commands share.
type options struct {
	dial      dialer
	control   []string
	settings  string
	tokenFile string
	authority string
	output    string
	// requestID is the request ID of accept, for errors in JSON.
	requestID string
}

// outputFlag adds --output.
func (o *options) outputFlag(c *cobra.Command) {
	c.Flags().StringVar(&o.output, "output", outputText, "output format: text or json")
}

// flags adds the flags of commands that call a control.
func (o *options) flags(c *cobra.Command) {
	c.Flags().StringSliceVar(&o.control, "control", nil, "Listen addresses of controls, tried in this order")
	c.Flags().StringVar(&o.settings, "settings", "", "settings file (JSON with comments) with Control, TokenFile and Authority")
	c.Flags().StringVar(&o.tokenFile, "token-file", "", "file with the bearer token of an operator")
	c.Flags().StringVar(&o.authority, "authority", "", "file with the certificate of the controls' authority, for controls with TLS")
	o.outputFlag(c)
}

// run checks the output format and runs f. With JSON output, an error is written
// to standard error as an operator.Fault.
func (o *options) run(c *cobra.Command, f func(ctx context.Context) error) error {
	if o.output != outputText && o.output != outputJSON {
		return errkind.New(errkind.Usage, "--output is %q, expected text or json", o.output)
	}
	err := f(c.Context())
	if err == nil || o.output == outputText {
		return err
	}
	e := errkind.From(err)
	if w := writeJSON(c.ErrOrStderr(), operator.Fault{Kind: string(e.Kind), Reason: e.Error(), RequestID: o.requestID, Execution: string(e.Execution)}); w != nil {
		return err
	}
	return printedError{err}
}

// printedError is an error that was already written to standard error.
type printedError struct{ error }

// Unwrap returns the underlying error.
func (r printedError) Unwrap() error { return r.error }

// call runs f with a client of the controls.
func (o *options) call(c *cobra.Command, f func(ctx context.Context, c *operator.Client) error) error {
	return o.run(c, func(ctx context.Context) error {
		k, err := o.client()
		if err != nil {
			return err
		}
		defer k.Close()
		return f(ctx, k)
	})
}

func (o *options) client() (*operator.Client, error) {
	control, tokenFile, authority := o.control, o.tokenFile, o.authority
	if o.settings != "" {
		s, err := settings.ReadClient(o.settings)
		if err != nil {
			return nil, err
		}
		if len(control) == 0 {
			control = s.Control
		}
		if tokenFile == "" {
			tokenFile = s.TokenFile
		}
		if authority == "" {
			authority = s.Authority
		}
	}
	token, err := readToken(tokenFile)
	if err != nil {
		return nil, err
	}
	config := operator.ClientConfig{Control: control, Token: token, Dial: o.dial}
	if authority != "" {
		if config.Authority, err = mtls.ReadAuthority(authority); err != nil {
			return nil, err
		}
	}
	return operator.NewClient(config)
}

func readToken(file string) (string, error) {
	if file == "" {
		return "", nil
	}
	b, err := readFile(file, maxTokenBytes)
	if err != nil {
		return "", err
	}
	t := strings.TrimSpace(string(b))
	if t == "" || strings.ContainsFunc(t, func(r rune) bool { return r <= ' ' || r > '~' }) {
		return "", errkind.New(errkind.Usage, "token file %s does not hold one token in a line of its own", file)
	}
	return t, nil
}

// readCustomerFile reads a file to send to a control. The file must be UTF-8,
// because encoding it as JSON would replace invalid bytes.
func readCustomerFile(file string) (string, error) {
	b, err := readFile(file, operator.MaxBodyBytes)
	if err != nil {
		return "", err
	}
	if !utf8.Valid(b) {
		return "", errkind.New(errkind.InvalidFile, "%s is not UTF-8 text", file)
	}
	return string(b), nil
}

func readFile(file string, limit int64) ([]byte, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Usage, "cannot read the file")
	}
	defer f.Close()
	b, err := io.ReadAll(io.LimitReader(f, limit+1))
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Usage, "cannot read the file")
	}
	if int64(len(b)) > limit {
		return nil, errkind.New(errkind.TooLarge, "%s exceeds %d bytes", file, limit)
	}
	return b, nil
}

// hints tell the operator what to do about errors whose reason does not say it.
var hints = map[errkind.Kind]string{
	errkind.Unreachable:   "check the addresses, which are the Listen addresses of controls, and that the controls run",
	errkind.ConnectFailed: "nothing was changed; run status to see the controls, and try again in a few seconds",
	errkind.NoQuorum:      "nothing was changed; run status to see the controls, and try again once a majority runs",
	errkind.NotCurrent:    "nothing was changed; run status to see the controls, and try again once a majority runs",
	errkind.NotLeader:     "nothing was changed; try again in a second",
	errkind.NotReady:      "nothing was changed; try again in a second",
	errkind.Leaving:       "nothing was changed; name another control with --control",
	errkind.DiskFull:      "nothing was changed; free space in the controls' DataFolder and try again",
}

// withHint adds what to do next to an error of the client.
func withHint(err error) error {
	e := errkind.From(err)
	if e.Kind == errkind.InvalidFile {
		return errkind.New(e.Kind, "the file is refused; nothing was changed; correct it and run plan again:\n%s", e.Error())
	}
	if h, ok := hints[e.Kind]; ok {
		return errkind.New(e.Kind, "%s; %s", e.Error(), h).WithExecution(e.Execution)
	}
	return err
}

// arguments returns the shared flags as they were given, for a command line
// that the operator can copy.
func (o *options) arguments() []string {
	var l []string
	for _, f := range []struct{ name, value string }{
		{"--control", strings.Join(o.control, ",")}, {"--settings", o.settings}, {"--token-file", o.tokenFile}, {"--authority", o.authority},
	} {
		if f.value != "" {
			l = append(l, f.name, f.value)
		}
	}
	return l
}

var unquotedWord = regexp.MustCompile(`^[A-Za-z0-9_./:,=@%+-]+$`)

// commandLine returns a gooseberrypick command line with words quoted for a shell.
func commandLine(words ...string) string {
	l := make([]string, len(words))
	for i, w := range words {
		if !unquotedWord.MatchString(w) {
			w = "'" + strings.ReplaceAll(w, "'", `'\''`) + "'"
		}
		l[i] = w
	}
	return "gooseberrypick " + strings.Join(l, " ")
}

func writeJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	e.SetEscapeHTML(false)
	return e.Encode(v)
}
