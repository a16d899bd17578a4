package gatekeeper

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"plantaincleat/entryd/pkg/accountant"
)

const (
	kb = 1 << 10
	// bodyLimit is the greatest body in the tests, and bodyTime the time in which it has to arrive.
	bodyLimit = 256 * kb
	bodyTime  = 3 * time.Second
	// testTimeout bounds what a test waits for.
	testTimeout = 10 * time.Second
)

// testServer is a server behind a keeper. It answers with the size of the body.
type testServer struct {
	t       *testing.T
	keeper  *Keeper
	address string
}

func startServer(t *testing.T, l accountant.Limits) *testServer {
	t.Helper()
	k := New(Options{
		Name:      "test",
		Limits:    l,
		Clock:     clockwork.NewRealClock(),
		HeadLimit: func() int { return 16 * kb },
	})
	listener, err := k.Listen("listen", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{
		Handler: http.HandlerFunc(answer),
	}
	k.Guard(server)
	go func() {
		// Serve returns after Close.
		_ = server.Serve(listener)
	}()
	t.Cleanup(func() { _ = server.Close() })
	return &testServer{
		t:       t,
		keeper:  k,
		address: listener.Addr().String(),
	}
}

// longAnswer is the size in bytes of the answer under /long.
const longAnswer = 300 * kb

// answer answers a request with the size of its body. It reads none under /unread, and gives a long
// answer under /long.
func answer(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/long" {
		a, err := ReserveAnswer(r.Context(), kb)
		if err != nil || a.Resize(longAnswer) != nil {
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write(make([]byte, longAnswer))
		return
	}
	if r.URL.Path == "/unread" {
		http.Error(w, "unread", http.StatusNotFound)
		return
	}
	body, err := ReadBody(w, r, bodyLimit, time.Now().Add(bodyTime))
	switch {
	case errors.Is(err, ErrTooLarge):
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	case errors.Is(err, ErrLate):
		w.WriteHeader(http.StatusRequestTimeout)
	case errors.Is(err, ErrNoRoom):
		w.WriteHeader(http.StatusServiceUnavailable)
	case err != nil:
		w.WriteHeader(http.StatusBadRequest)
	default:
		_, _ = fmt.Fprintf(w, "%d", len(body))
	}
}

// roomy are limits that one connection does not reach.
var roomy = accountant.Limits{
	Connections: 10,
	Bytes:       4 << 20,
	Small:       32 * kb,
}

// dial opens a connection and sends text on it.
func (s *testServer) dial(text string) net.Conn {
	s.t.Helper()
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	if _, err := c.Write([]byte(text)); err != nil {
		s.t.Fatal(err)
	}
	return c
}

// reply is an answer with its body.
type reply struct {
	status int
	closes bool
	body   string
}

// exchange sends text on a new connection and returns the answer.
func (s *testServer) exchange(text string) reply {
	s.t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(s.dial(text)), nil)
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		s.t.Fatal(err)
	}
	return reply{
		status: resp.StatusCode,
		closes: resp.Close,
		body:   string(body),
	}
}

// eventually waits until condition holds.
func (s *testServer) eventually(what string, condition func() bool) {
	s.t.Helper()
	for end := time.Now().Add(testTimeout); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatalf("condition not met: %s; counts %+v", what, s.keeper.Counts())
		}
	}
}

// post returns a request with a body of a length, of which only the first sent bytes are there.
func post(path string, length, sent int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, length, strings.Repeat("x", sent))
}

// chunked returns a request whose body has n chunks of a size.
func chunked(size, n int) string {
	chunk := fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size))
	return "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk, n) + "0\r\n\r\n"
}

// head returns a request with n header lines of 8 bytes.
func head(n int) string {
	var b strings.Builder
	b.WriteString("GET / HTTP/1.1\r\nHost: h\r\n")
	for i := range n {
		fmt.Fprintf(&b, "%05x:\r\n", i)
	}
	return b.String() + "\r\n"
}

// TestSingleRequests guards against limits that a single request inside the limits of the pages
// meets, and against bodies that are passed on in part.
func TestSingleRequests(t *testing.T) {
	tests := []struct {
		name string
		text string
		want int
		body string
		// closes is true if the answer closes the connection.
		closes bool
	}{
		{name: "no body", text: "GET / HTTP/1.1\r\nHost: h\r\n\r\n", want: 200, body: "0"},
		{name: "short", text: post("/", 3, 3), want: 200, body: "3"},
		{name: "one block", text: post("/", blockSize, blockSize), want: 200, body: fmt.Sprint(blockSize)},
		{name: "more than a block", text: post("/", blockSize+1, blockSize+1), want: 200, body: fmt.Sprint(blockSize + 1)},
		{name: "largest", text: post("/", bodyLimit, bodyLimit), want: 200, body: fmt.Sprint(bodyLimit)},
		{name: "too large", text: post("/", bodyLimit+1, 0), want: 413, closes: true},
		{name: "large chunks", text: chunked(bodyLimit/4, 4), want: 200, body: fmt.Sprint(bodyLimit)},
		{name: "empty chunked", text: chunked(1, 0), want: 200, body: "0"},
		{name: "chunks that are too large", text: chunked(bodyLimit/4, 5), want: 413, closes: true},
		{name: "chunks of a byte", text: chunked(1, bodyLimit), want: 200, body: fmt.Sprint(bodyLimit)},
		{name: "one byte short", text: post("/", 100, 99), want: 408, closes: true},
		{name: "one byte short of the largest", text: post("/", bodyLimit, bodyLimit-1), want: 408, closes: true},
		{name: "many lines", text: head(2000), want: 200, body: "0"},
		{name: "head beyond the limit", text: head(4000), want: 431, closes: true},
		{name: "short body that is not read", text: post("/unread", 10, 10), want: 404, body: "unread\n"},
		{name: "long body that is not read", text: post("/unread", bodyLimit, 10), want: 404, body: "unread\n", closes: true},
		{name: "short body that does not arrive", text: post("/unread", 10, 9), want: 404, body: "unread\n", closes: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := startServer(t, roomy)
			want := reply{
				status: test.want,
				closes: test.closes,
				body:   test.body,
			}
			if got := s.exchange(test.text); got != want {
				t.Errorf("reply %+v, want %+v", got, want)
			}
			s.eventually("all bytes are given back", func() bool { return s.keeper.Counts().Bytes == 0 })
		})
	}
}

// TestPipelinedRequests guards against requests on one connection that are taken apart wrongly, or
// whose bytes stay charged.
func TestPipelinedRequests(t *testing.T) {
	s := startServer(t, roomy)
	c := s.dial(strings.Repeat(post("/", 20*kb, 20*kb)+head(3), 10))
	reader := bufio.NewReader(c)
	for i := range 20 {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		body, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if want := fmt.Sprint(20 * kb * (1 - i%2)); string(body) != want {
			t.Fatalf("body of answer %d is %q, want %q", i, body, want)
		}
	}
	s.eventually("all bytes are given back", func() bool { return s.keeper.Counts().Bytes == 0 })
}

// TestUnfinishedRequestsMakeWay guards against unfinished requests that keep others out: in a body, in
// a head, and in the buffer of the server behind another request.
func TestUnfinishedRequestsMakeWay(t *testing.T) {
	tight := accountant.Limits{
		Connections: 100,
		Bytes:       1 << 20,
		Small:       32 * kb,
	}
	tests := []struct {
		name, text string
	}{
		{name: "bodies", text: post("/", bodyLimit, bodyLimit-1)},
		{name: "heads", text: strings.TrimSuffix(head(1500), "\r\n")},
		{name: "heads behind a request", text: "GET / HTTP/1.1\r\nHost: h\r\n\r\n" + strings.TrimSuffix(head(400), "\r\n")},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := startServer(t, tight)
			for range 40 {
				s.dial(test.text)
			}
			s.eventually("some make way", func() bool { c := s.keeper.Counts(); return c.Evicted+c.Refused > 0 })
			for _, size := range []int{0, 10, 20 * kb} {
				if got := s.exchange(post("/", size, size)); got.status != http.StatusOK || got.body != fmt.Sprint(size) {
					t.Errorf("request of %d bytes: %+v", size, got)
				}
			}
		})
	}
}

// TestConnectionsAreBounded guards against connections without a request that keep callers out.
func TestConnectionsAreBounded(t *testing.T) {
	s := startServer(t, roomy)
	for range 5 * roomy.Connections {
		s.dial("")
	}
	if got := s.exchange(post("/", 1, 1)); got.status != http.StatusOK {
		t.Errorf("status %d", got.status)
	}
	if n := s.keeper.Counts().Connections; n > roomy.Connections {
		t.Errorf("%d connections, want at most %d", n, roomy.Connections)
	}
}

// TestAnswersThatAreNotRead guards against callers that keep an answer for as long as they like.
func TestAnswersThatAreNotRead(t *testing.T) {
	s := startServer(t, roomy)
	s.keeper.AnswerTimeout = 100 * time.Millisecond
	c := s.dial("")
	request := []byte("GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 100) + "\r\n\r\n")
	_ = c.SetWriteDeadline(time.Now().Add(testTimeout))
	for {
		if _, err := c.Write(bytes.Repeat(request, 1000)); err != nil {
			break
		}
	}
	s.eventually("the connection is closed", func() bool { return s.keeper.Counts().Connections == 0 })
}

// TestUnreadAnswersMakeWay guards against answers that nobody reads and that fill the daemon, so that
// other callers get none.
func TestUnreadAnswersMakeWay(t *testing.T) {
	s := startServer(t, accountant.Limits{
		Connections: 100,
		Bytes:       2 << 20,
		Small:       32 * kb,
	})
	const request = "GET /long HTTP/1.1\r\nHost: h\r\n\r\n"
	for range 20 {
		s.dial(strings.Repeat(request, 5))
	}
	time.Sleep(time.Second)
	if got := s.exchange(request); got.status != http.StatusOK || len(got.body) != longAnswer {
		t.Errorf("status %d, %d bytes", got.status, len(got.body))
	}
	if s.keeper.Counts().Evicted == 0 {
		t.Error("no answer made way")
	}
}

// TestPacer guards against framing that takes all the processor time, and against requests that wait
// although they cannot be read in time.
func TestPacer(t *testing.T) {
	var p pacer
	now := time.Now()
	var total int64
	for {
		wait, ok := p.reserve(64*kb, now)
		if !ok {
			break
		}
		if wait > maxPaceWait {
			t.Fatalf("a read waits %v, longer than %v", wait, maxPaceWait)
		}
		total += 64 * kb
	}
	if limit := int64(paceRate*maxPaceWait.Seconds()) + 2*64*kb; total > limit {
		t.Errorf("%d bytes were reserved at once, want at most %d", total, limit)
	}
	if wait, ok := p.reserve(64*kb, now.Add(2*maxPaceWait)); !ok || wait != 0 {
		t.Errorf("after a pause a read waits %v, allowed %v", wait, ok)
	}
}
