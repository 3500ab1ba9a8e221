package operator

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"io"
	"log"
	"math"
	"mime"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/gooseberrypick/gooseberrypick/internal/versions"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

const (
	// defaultConcurrent bounds the requests served at the same time and, together
	// with MaxBodyBytes, their memory use.
	defaultConcurrent = 32
	requestTimeout    = 20 * time.Second
	headerTimeout     = 5 * time.Second
	readTimeout       = 15 * time.Second
	writeTimeout      = 40 * time.Second // more than readTimeout and requestTimeout together
	idleTimeout       = time.Minute
	maxHeaderBytes    = 16 << 10
	defaultHistory    = 50
)

// HandlerConfig configures a handler.
type HandlerConfig struct {
	Backend Backend
	// Operators may use the API. If there are none, only loopback clients may.
	Operators []Operator
	Log       logr.Logger
	// MaxConcurrent bounds the requests served at the same time; zero means the
	// default.
	MaxConcurrent int
}

type handler struct {
	backend     Backend
	credentials []credential
	log         logr.Logger
	slots       chan struct{}
}

// NewHandler returns the handler of the API.
func NewHandler(c HandlerConfig) (http.Handler, error) {
	l, err := newCredentials(c.Operators)
	if err != nil {
		return nil, err
	}
	if c.MaxConcurrent <= 0 {
		c.MaxConcurrent = defaultConcurrent
	}
	return &handler{backend: c.Backend, credentials: l, log: c.Log, slots: make(chan struct{}, c.MaxConcurrent)}, nil
}

// NewServer returns a server for h with the limits of the API.
func NewServer(h http.Handler) *http.Server {
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	if h, ok := h.(*handler); ok {
		s.ErrorLog = log.New(connectionLog{h.log}, "", 0)
	}
	return s
}

// connectionLog logs the connection errors that net/http reports.
type connectionLog struct{ log logr.Logger }

// Write implements io.Writer.
func (l connectionLog) Write(b []byte) (int, error) {
	l.log.Info("operator connection failed", "cause", strings.TrimSpace(string(b)))
	return len(b), nil
}

// call is one request that is being handled.
type call struct {
	*http.Request
	w      http.ResponseWriter
	author string
	id     string
}

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	c := &call{Request: r.WithContext(ctx), w: w, id: r.Header.Get(HeaderRequestID)}
	if c.id == "" || len(c.id) > versions.MaxNameBytes {
		c.id = rand.Text()
	}
	answer, err := h.serve(c)
	if err != nil {
		c.fail(err)
		return
	}
	c.write(http.StatusOK, answer)
}

func (h *handler) serve(c *call) (any, error) {
	var err error
	if c.author, err = authorize(h.credentials, c.Request); err != nil {
		c.w.Header().Set("WWW-Authenticate", "Bearer")
		h.log.V(1).Info("operator refused", "requestId", c.id, "remote", c.RemoteAddr, "reason", err.Error())
		return nil, err
	}
	select {
	case h.slots <- struct{}{}:
		defer func() { <-h.slots }()
	default:
		return nil, errkind.New(errkind.QueueFull, "the control already serves %d operator requests; try again", cap(h.slots))
	}
	switch path := c.URL.Path; {
	case path == PathPlan:
		return h.plan(c)
	case path == PathAccept:
		return h.accept(c)
	case path == PathForget:
		return h.forget(c)
	case path == PathStatus:
		if err := c.get(); err != nil {
			return nil, err
		}
		return h.backend.Status(c.Context())
	case path == PathReport:
		if err := c.get("Customer"); err != nil {
			return nil, err
		}
		return h.backend.Report(c.Context(), ReportRequest{Customer: c.URL.Query().Get("Customer")})
	case path == PathHistory:
		return h.history(c)
	case strings.HasPrefix(path, PathVersions):
		return h.version(c, strings.TrimPrefix(path, PathVersions))
	}
	return nil, errkind.New(errkind.NotFound, "the operator API has no path %q", c.URL.Path)
}

func (h *handler) plan(c *call) (any, error) {
	var r PlanRequest
	if err := c.post(&r); err != nil {
		return nil, err
	}
	if err := checkFile(r.FileName, r.File); err != nil {
		return nil, err
	}
	return h.backend.Plan(c.Context(), r)
}

func (h *handler) accept(c *call) (any, error) {
	var r AcceptRequest
	if err := c.post(&r); err != nil {
		return nil, err
	}
	if r.RequestID == "" || len(r.RequestID) > versions.MaxNameBytes {
		return nil, errkind.New(errkind.BadRequest, "RequestId must have 1 to %d bytes; it makes resending safe", versions.MaxNameBytes)
	}
	c.id = r.RequestID
	if err := checkFile(r.FileName, r.File); err != nil {
		return nil, err
	}
	a, err := h.backend.Accept(c.Context(), c.author, r)
	if err != nil {
		e := errkind.From(err)
		h.log.Info("accept failed", "requestId", c.id, "author", c.author, "base", r.Base, "kind", e.Kind, "execution", e.Execution, "reason", e.Error())
		return nil, err
	}
	h.log.Info("accepted", "requestId", c.id, "author", c.author, "customer", a.Customer, "base", r.Base, "version", a.Version, "repeated", a.Repeated)
	return a, nil
}

func (h *handler) forget(c *call) (any, error) {
	var r ForgetRequest
	if err := c.post(&r); err != nil {
		return nil, err
	}
	if err := CheckForget(r); err != nil {
		return nil, err
	}
	f, err := h.backend.Forget(c.Context(), r)
	if err != nil {
		h.log.Info("forget failed", "requestId", c.id, "author", c.author, "nodes", r.Nodes, "reason", err.Error())
		return nil, err
	}
	h.log.Info("nodes forgotten", "requestId", c.id, "author", c.author, "removed", f.Removed, "unknown", f.Unknown)
	return f, nil
}

// CheckForget returns an error if r is not valid.
func CheckForget(r ForgetRequest) error {
	if len(r.Nodes) == 0 || len(r.Nodes) > MaxForget {
		return errkind.New(errkind.BadRequest, "%d nodes are named, expected 1 to %d", len(r.Nodes), MaxForget)
	}
	for _, n := range r.Nodes {
		if n == "" || len(n) > versions.MaxNameBytes {
			return errkind.New(errkind.BadRequest, "node name %q has %d bytes, expected 1 to %d", n[:min(len(n), 20)], len(n), versions.MaxNameBytes)
		}
	}
	return nil
}

func (h *handler) history(c *call) (any, error) {
	if err := c.get("Customer", "Limit"); err != nil {
		return nil, err
	}
	r := HistoryRequest{Customer: c.URL.Query().Get("Customer"), Limit: defaultHistory}
	if s := c.URL.Query().Get("Limit"); s != "" {
		n, err := strconv.Atoi(s)
		if err != nil || n < 1 || n > MaxHistory {
			return nil, errkind.New(errkind.BadRequest, "Limit is %q, expected a number from 1 to %d", s, MaxHistory)
		}
		r.Limit = n
	}
	return h.backend.History(c.Context(), r)
}

func (h *handler) version(c *call, number string) (any, error) {
	if err := c.get("Customer"); err != nil {
		return nil, err
	}
	r := VersionRequest{Customer: c.URL.Query().Get("Customer")}
	if number != Latest {
		n, err := strconv.ParseUint(number, 10, 64)
		if err != nil || n == 0 || r.Customer != "" {
			return nil, errkind.New(errkind.BadRequest, "version is %q, expected a number from 1, or %q, which alone allows Customer", number, Latest)
		}
		r.Number = n
	}
	return h.backend.Version(c.Context(), r)
}

func checkFile(name, file string) error {
	if file == "" {
		return errkind.New(errkind.BadRequest, "File is empty")
	}
	if len(name) > versions.MaxNameBytes {
		return errkind.New(errkind.BadRequest, "FileName has %d bytes, at most %d are allowed", len(name), versions.MaxNameBytes)
	}
	return nil
}

// method returns an error if the method is not want.
func (c *call) method(want string) error {
	if c.Method == want {
		return nil
	}
	c.w.Header().Set("Allow", want)
	return errkind.New(errkind.BadRequest, "method %s on %s, expected %s", c.Method, c.URL.Path, want)
}

// get checks that the request is a GET without a body and that its query has only
// the given keys.
func (c *call) get(keys ...string) error {
	if err := c.method(http.MethodGet); err != nil {
		return err
	}
	if c.ContentLength != 0 {
		return errkind.New(errkind.BadRequest, "%s takes no body", c.URL.Path)
	}
	q, err := url.ParseQuery(c.URL.RawQuery)
	if err != nil {
		return errkind.New(errkind.BadRequest, "query of %s: %v", c.URL.Path, err)
	}
	for k, v := range q {
		if !slices.Contains(keys, k) || len(v) > 1 {
			return errkind.New(errkind.BadRequest, "query key %q of %s is unknown or repeated, expected %q", k, c.URL.Path, keys)
		}
	}
	return nil
}

// post checks that the request is a POST and decodes its JSON body into v.
func (c *call) post(v any) error {
	if err := c.method(http.MethodPost); err != nil {
		return err
	}
	if t, _, err := mime.ParseMediaType(c.Header.Get("Content-Type")); err != nil || t != "application/json" {
		return errkind.New(errkind.BadRequest, "Content-Type is %q, expected application/json", c.Header.Get("Content-Type"))
	}
	b, err := io.ReadAll(http.MaxBytesReader(c.w, c.Body, MaxBodyBytes))
	if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
		return errkind.New(errkind.TooLarge, "the body exceeds %d bytes", MaxBodyBytes)
	}
	if err != nil {
		return errkind.Wrap(err, errkind.BadRequest, "read body")
	}
	// The decoder would replace invalid bytes and thereby change the file.
	if !utf8.Valid(b) {
		return errkind.New(errkind.BadRequest, "the body is not UTF-8")
	}
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return errkind.Wrap(err, errkind.BadRequest, "decode body")
	}
	if _, err := d.Token(); err != io.EOF {
		return errkind.New(errkind.BadRequest, "the body goes on after its JSON value")
	}
	return nil
}

func (c *call) fail(err error) {
	e := errkind.From(err)
	a := e.Kind.Answer()
	c.w.Header().Set(HeaderExecution, string(e.Execution))
	if a.RetryAfter > 0 {
		c.w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(a.RetryAfter.Seconds()))))
	}
	c.write(a.HTTPStatus, Fault{Kind: string(e.Kind), Reason: e.Error(), RequestID: c.id, Execution: string(e.Execution)})
}

func (c *call) write(status int, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		panic(err) // the bodies hold only encodable fields
	}
	h := c.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Cache-Control", "no-store")
	h.Set(HeaderRequestID, c.id)
	c.w.WriteHeader(status)
	_, _ = c.w.Write(append(b, '\n')) // if the connection broke, the client reports it
}
