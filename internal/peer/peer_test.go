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
	"github.com/gooseberrypick/gooseberrypick/internal/standin"
	"github.com/gooseberrypick/gooseberrypick/internal/wire"
	"github.com/gooseberrypick/gooseberrypick/pkg/errkind"
)

// transport is an owner node's transport.
type transport func(ctx context.Context, r *call.Request) (*call.Response, error)

func (f transport) Call(ctx context.Context, r *call.Request) (*call.Response, error) {
	return f(ctx, r)
}

// answer returns an answer to the request with the given ID.
func answer(id string, length int64, body io.Reader) *call.Response {
	return &call.Response{
		Head:    wire.ResponseHead{RequestID: id, Status: 200, ContentLength: length},
		Body:    io.NopCloser(body),
		Trailer: func() map[string][]string { return nil },
		Load:    func() *wire.Load { return nil },
	}
}

// start serves f and returns a client of it.
func start(t *testing.T, f transport) (*Client, *Server) { return startOn(t, standin.NewNetwork(), f) }

func startOn(t *testing.T, n *standin.Network, f transport) (*Client, *Server) {
	l, err := n.Listen("owner:3")
	if err != nil {
		t.Fatal(err)
	}
	m, p := wire.NewMux(), NewServer(ServerConfig{Transport: f})
	p.Register(m)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- wire.Serve(ctx, l, m, wire.ServeOptions{}) }()
	c := NewClient(n.Dial, time.Second)
	t.Cleanup(func() {
		c.Close()
		cancel()
		<-done
	})
	return c, p
}

// do sends one request and returns the body of its answer.
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

// failing is a body that ends in an error.
type failing struct {
	io.Reader
	err error
}

func (f *failing) Read(p []byte) (int, error) {
	n, err := f.Reader.Read(p)
	if call.IsEOF(err) {
		err = f.err
	}
	return n, err
}

// Guards that an answer is taken for whole only where its body ended with
// io.EOF itself after the announced length, and only by the request that it
// belongs to.
func TestOnlyWholeAnswers(t *testing.T) {
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
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, _ := start(t, func(context.Context, *call.Request) (*call.Response, error) {
					return answer(tt.id, tt.length, &failing{strings.NewReader("hello"), tt.end}), nil
				})
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

// Guards that late parts of an answer that was given up do not reach the next
// request, and that a connection with chunks that nobody reads is not used
// again: the next request on it would wait for its deadline.
func TestConnectionAfterAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, _ := start(t, func(_ context.Context, r *call.Request) (*call.Response, error) {
			switch r.RequestID {
			case "slow":
				time.Sleep(2 * time.Second)
			case "unread":
				if err := r.OnAdmitted(); err != nil {
					return nil, err
				}
			}
			return answer(r.RequestID, -1, strings.NewReader(r.RequestID)), nil
		})
		for i := range 3 {
			if got, err := do(c, "slow", nil); errkind.Of(err) != errkind.DeadlineExceeded {
				t.Errorf("slow: got %q, %v", got, err)
			}
			for _, id := range []string{"unread", fmt.Sprint("after-", i)} {
				var body io.Reader
				if id == "unread" {
					body = bytes.NewReader(make([]byte, 2*call.ChunkBytes)) // as much as is taken without a reader
				}
				start := time.Now()
				if got, err := do(c, id, body); got != id || err != nil || time.Since(start) > 0 {
					t.Errorf("got %q, %v after %s, want %q at once", got, err, time.Since(start), id)
				}
			}
		}
	})
}

// Guards that a body which broke off at the entry node is not whole to the
// owner node, also where the connection reports the end of the stream as io.EOF.
func TestBrokenBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		read := make(chan error, 1)
		c, _ := start(t, func(_ context.Context, r *call.Request) (*call.Response, error) {
			if err := r.OnAdmitted(); err != nil {
				return nil, err
			}
			_, err := io.Copy(io.Discard, r.Stream)
			read <- err
			return answer(r.RequestID, 0, strings.NewReader("")), nil
		})
		_, err := do(c, "id-1", &failing{strings.NewReader(strings.Repeat("x", 100<<10)), errors.New("broke off")})
		if errkind.Of(err) != errkind.Canceled {
			t.Errorf("got %v, want kind Canceled", err)
		}
		if err := <-read; err == nil {
			t.Error("read by the owner node: got the end, want an error")
		}
	})
}

// Guards that a stop waits until the answers under way were sent to their end,
// and that later requests are refused as not run instead of being cut off.
func TestDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, w := io.Pipe()
		c, p := start(t, func(_ context.Context, q *call.Request) (*call.Response, error) {
			return answer(q.RequestID, -1, r), nil
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

// Guards that a message which is no request, of any shape, ends its stream only:
// a request under way on another connection and later ones are answered.
func TestMalformedMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := standin.NewNetwork()
		free := make(chan struct{})
		c, _ := startOn(t, n, func(_ context.Context, r *call.Request) (*call.Response, error) {
			if r.RequestID == "long" {
				<-free
			}
			if r.Stream != nil {
				return nil, errkind.New(errkind.QueueFull, "no uploads here")
			}
			return answer(r.RequestID, -1, strings.NewReader(r.RequestID)), nil
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
		known := [][]byte{{}, {0xa0}, {0xa1, 0x03, 0xf5}, {0x80}, {0xff}} // among them the end of a body, and an empty message
		for i := range 500 {
			m := bytes.Clone(valid)
			for range 1 + random.IntN(4) {
				m[random.IntN(len(m))] = byte(random.Uint32())
			}
			if i < 2*len(known) {
				m = append(known[i/2], 0)[:len(known[i/2])]
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
			t.Errorf("request under way: got %s, want %s", got, want)
		}
	})
}
