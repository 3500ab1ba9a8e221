package peer

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberrypick/gooseberrypick/internal/call"
	"github.com/gooseberrypick/gooseberrypick/internal/link"
	"github.com/gooseberrypick/gooseberrypick/internal/standin"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// transportFunc implements the owner node's transport with a function.
type transportFunc func(ctx context.Context, r *call.Request) (*call.Response, error)

func (f transportFunc) Call(ctx context.Context, r *call.Request) (*call.Response, error) {
	return f(ctx, r)
}

// newResponse returns a response to the request with the given ID.
func newResponse(id string, length int64, body io.Reader) *call.Response {
	return &call.Response{
		Head:    wire.ResponseHead{RequestID: id, Status: 200, ContentLength: length},
		Body:    io.NopCloser(body),
		Trailer: func() map[string][]string { return nil },
		Load:    func() *wire.Load { return nil },
	}
}

// startServer starts an owner node with f as its transport, and returns a client of
// it.
func startServer(t *testing.T, f transportFunc) (*Client, *Server) {
	return startServerOn(t, standin.NewNetwork(), f)
}

func startServerOn(t *testing.T, n *standin.Network, f transportFunc) (*Client, *Server) {
	return startServerWith(t, n, f, 0)
}

// startServerWith starts an owner node and a client of it, each on a link of the given rate;
// zero means unknown.
func startServerWith(t *testing.T, n *standin.Network, f transportFunc, mbps float64) (*Client, *Server) {
	rank := func(_, rank string) (int, time.Duration) { return len(rank), time.Second }
	l, err := n.Listen("owner:3")
	if err != nil {
		t.Fatal(err)
	}
	m, p := wire.NewMux(), NewServer(ServerConfig{Transport: f, LinkMbps: mbps, Outlet: NewOutlet(OutletConfig{Link: link.New(mbps), Rank: rank})})
	p.Register(m)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- wire.Serve(ctx, l, m, wire.ServeOptions{}) }()
	c := NewClient(ClientConfig{Dial: n.Dial, TCPUserTimeout: time.Second, Outlet: NewOutlet(OutletConfig{Link: link.New(mbps), Rank: rank})})
	t.Cleanup(func() {
		c.Close()
		cancel()
		<-done
	})
	return c, p
}

// do sends one request and returns the body of its response.
func do(c *Client, id string, stream io.Reader) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r := &call.Request{RequestHead: wire.RequestHead{RequestID: id, Method: "POST", Remaining: time.Second, WholeBody: stream == nil}}
	if stream != nil {
		r.Stream = io.NopCloser(stream)
	}
	a, err := c.Call(ctx, "owner:3", r)
	if err != nil {
		return "", err
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	return string(b), err
}

// failingReader returns err instead of io.EOF.
type failingReader struct {
	io.Reader
	err error
}

func (f *failingReader) Read(p []byte) (int, error) {
	n, err := f.Reader.Read(p)
	if call.IsEOF(err) {
		err = f.err
	}
	return n, err
}

// Guards that a response counts as complete only if its body ended with io.EOF itself
// after the stated length, and only for the request that it belongs to.
func TestOnlyCompleteResponses(t *testing.T) {
	for _, tt := range []struct {
		name   string
		id     string
		length int64
		end    error
		want   errkind.Kind
	}{
		{"whole", "id-1", 5, io.EOF, ""},
		{"whole of unknown length", "id-1", -1, io.EOF, ""},
		{"unexpected end", "id-1", 5, io.ErrUnexpectedEOF, errkind.Internal},
		{"unexpected end of unknown length", "id-1", -1, io.ErrUnexpectedEOF, errkind.Internal},
		{"wrapped end", "id-1", -1, errors.Wrap(io.EOF, "connection broke"), errkind.Internal},
		{"shorter than announced", "id-1", 9, io.EOF, errkind.AnswerIncomplete},
		{"much shorter than announced", "id-1", 1 << 20, io.EOF, errkind.AnswerIncomplete},
		{"answer to another request", "id-2", 5, io.EOF, errkind.UpstreamFailed},
	} {
		for _, mbps := range []float64{0, 18} {
			t.Run(fmt.Sprint(tt.name, " at ", mbps, " Mbit per s"), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c, _ := startServerWith(t, standin.NewNetwork(), func(context.Context, *call.Request) (*call.Response, error) {
						return newResponse(tt.id, tt.length, &failingReader{strings.NewReader("hello"), tt.end}), nil
					}, mbps)
					got, err := do(c, "id-1", nil)
					if errkind.Of(err) != tt.want || tt.want == "" && got != "hello" {
						t.Errorf("got %q, %v, want kind %q", got, err, tt.want)
					}
					if err != nil && errkind.From(err).Execution != errkind.Unknown {
						t.Errorf("execution of %v: got %s, want unknown", err, errkind.From(err).Execution)
					}
				})
			})
		}
	}
}

// Guards that late parts of an abandoned response do not reach the next request, and
// that a connection with unread chunks is not reused: the next request on it would
// wait until its deadline.
func TestConnectionReuse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, _ := startServer(t, func(_ context.Context, r *call.Request) (*call.Response, error) {
			switch r.RequestID {
			case "slow":
				time.Sleep(2 * time.Second)
			case "unread":
				if err := r.OnAdmitted(); err != nil {
					return nil, err
				}
			}
			return newResponse(r.RequestID, -1, strings.NewReader(r.RequestID)), nil
		})
		for i := range 3 {
			if got, err := do(c, "slow", nil); errkind.Of(err) != errkind.DeadlineExceeded {
				t.Errorf("slow: got %q, %v", got, err)
			}
			for _, id := range []string{"unread", fmt.Sprint("after-", i)} {
				var body io.Reader
				if id == "unread" {
					body = bytes.NewReader(make([]byte, 2*call.ChunkBytes)) // as much as is buffered without a reader
				}
				start := time.Now()
				if got, err := do(c, id, body); got != id || err != nil || time.Since(start) > 0 {
					t.Errorf("got %q, %v after %s, want %q at once", got, err, time.Since(start), id)
				}
			}
		}
	})
}

// Guards that the owner node does not treat a body as complete that was cut off at the
// entry node, even if the connection reports the end of the stream as io.EOF.
func TestCutOffBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		read := make(chan error, 1)
		c, _ := startServer(t, func(_ context.Context, r *call.Request) (*call.Response, error) {
			if err := r.OnAdmitted(); err != nil {
				return nil, err
			}
			_, err := io.Copy(io.Discard, r.Stream)
			read <- err
			return newResponse(r.RequestID, 0, strings.NewReader("")), nil
		})
		_, err := do(c, "id-1", &failingReader{strings.NewReader(strings.Repeat("x", 100<<10)), errors.New("broke off")})
		if errkind.Of(err) != errkind.Canceled {
			t.Errorf("got %v, want kind Canceled", err)
		}
		if err := <-read; err == nil {
			t.Error("read by the owner node: got the end, want an error")
		}
	})
}

// Guards that a stopping server waits until the responses in flight have been sent,
// and that later requests are refused as not-run instead of being cut off.
func TestDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, w := io.Pipe()
		c, p := startServer(t, func(_ context.Context, q *call.Request) (*call.Response, error) {
			return newResponse(q.RequestID, -1, r), nil
		})
		got := make(chan string)
		go func() {
			b, err := do(c, "id-1", nil)
			got <- fmt.Sprint(b, " ", err)
		}()
		synctest.Wait()
		p.Refuse()
		if _, err := do(c, "id-2", nil); errkind.Of(err) != errkind.Leaving || errkind.From(err).Execution != errkind.NotRun {
			t.Errorf("after Refuse: got %v, want Leaving and not-run", err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		if p.Drain(ctx) == nil {
			t.Error("Drain returned before the end of the answer")
		}
		go func() {
			io.WriteString(w, "hello")
			w.Close()
		}()
		if err := p.Drain(t.Context()); err != nil {
			t.Error(err)
		}
		if got, want := <-got, "hello <nil>"; got != want {
			t.Errorf("answer: got %s, want %s", got, want)
		}
	})
}

// Guards that a malformed message ends only its own stream: a request in flight on
// another connection and later requests are still answered.
func TestMalformedMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := standin.NewNetwork()
		free := make(chan struct{})
		c, _ := startServerOn(t, n, func(_ context.Context, r *call.Request) (*call.Response, error) {
			if r.RequestID == "long" {
				<-free
			}
			if r.Stream != nil {
				return nil, errkind.New(errkind.QueueFull, "no uploads here")
			}
			return newResponse(r.RequestID, -1, strings.NewReader(r.RequestID)), nil
		})
		long := make(chan string)
		go func() {
			b, err := do(c, "long", nil)
			long <- fmt.Sprint(b, err)
		}()
		valid, err := wire.Marshal(&wire.ForwardRequest{Head: &wire.RequestHead{RequestID: "id", Method: "POST", Path: "/", Remaining: time.Second, WholeBody: true}})
		if err != nil {
			t.Fatal(err)
		}
		random := rand.New(rand.NewPCG(1, 2))
		malformed := [][]byte{{}, {0xa0}, {0xa1, 0x03, 0xf5}, {0x80}, {0xff}} // among them an empty message and the end of a body
		for i := range 500 {
			m := bytes.Clone(valid)
			for range 1 + random.IntN(4) {
				m[random.IntN(len(m))] = byte(random.Uint32())
			}
			if i < 2*len(malformed) {
				m = append(malformed[i/2], 0)[:len(malformed[i/2])]
			}
			k, err := n.Dial(t.Context(), "owner:3")
			if err != nil {
				t.Fatal(err)
			}
			if i%2 == 0 { // no stream at all
				k.Write(m[:random.IntN(len(m)+1)])
				k.Close()
				continue
			}
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			conn := wire.NewConn(k)
			if s, err := conn.NewStream(ctx, wire.MethodForward, wire.Encoding{}); err == nil {
				s.MsgSend(wire.Raw(m), wire.Encoding{})
				s.MsgRecv(new(wire.ForwardResponse), wire.Encoding{})
			}
			conn.Close()
			cancel()
		}
		if got, err := do(c, "later", nil); got != "later" || err != nil {
			t.Errorf("got %q, %v, want later", got, err)
		}
		close(free)
		if got, want := <-long, "long<nil>"; got != want {
			t.Errorf("request in flight: got %s, want %s", got, want)
		}
	})
}

// Guards against requests that go on at an owner node after the entry node has canceled
// them: the cancellation lies behind a body that the upstream does not read.
func TestCancellationBehindUnreadBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ended := make(chan error, 1)
		c, _ := startServer(t, func(ctx context.Context, r *call.Request) (*call.Response, error) {
			if err := r.OnAdmitted(); err != nil {
				return nil, err
			}
			<-ctx.Done()
			ended <- ctx.Err()
			return nil, ctx.Err()
		})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		start := time.Now()
		_, err := c.Call(ctx, "owner:3", &call.Request{
			RequestHead: wire.RequestHead{RequestID: "u", Method: "POST", Remaining: 10 * time.Second},
			Stream:      io.NopCloser(zeros(200 << 10)),
		})
		if errkind.Of(err) != errkind.DeadlineExceeded {
			t.Errorf("got %v, want the caller's deadline", err)
		}
		if got := <-ended; !errors.Is(got, context.Canceled) {
			t.Errorf("the request ended with %v, want it canceled", got)
		}
		if got := time.Since(start); got > 1500*time.Millisecond {
			t.Errorf("the request ended after %s, want it within half a second after the cancellation", got)
		}
	})
}
