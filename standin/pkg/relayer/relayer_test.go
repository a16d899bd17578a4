package relayer

import (
	"errors"
	"io"
	"net"
	"net/http/httptest"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// startEcho starts a server that sends back what it receives, and returns its address.
func startEcho(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				io.Copy(c, c)
				c.Close()
			}()
		}
	}()
	return l.Addr().String()
}

func start(t *testing.T, clock clockwork.Clock, rules ...Rule) *Relayer {
	t.Helper()
	r := New(clock)
	plan := &Plan{
		Links: []Link{{
			Name:   "echo",
			Listen: "127.0.0.1:0",
			To:     startEcho(t),
		}},
		Rules: rules,
	}
	if err := r.Start(plan); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Stop)
	return r
}

// dial connects to the first link from the IP address source.
func dial(t *testing.T, r *Relayer, source string) net.Conn {
	t.Helper()
	d := net.Dialer{
		LocalAddr: &net.TCPAddr{
			IP: net.ParseIP(source),
		},
	}
	c, err := d.Dial("tcp", r.links[0].Listen)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

func write(t *testing.T, c net.Conn, s string) {
	t.Helper()
	if _, err := c.Write([]byte(s)); err != nil {
		t.Fatal(err)
	}
}

func wantRead(t *testing.T, c net.Conn, want string) {
	t.Helper()
	b := make([]byte, len(want))
	if _, err := io.ReadFull(c, b); err != nil || string(b) != want {
		t.Fatalf("read %q, %v; want %q", b, err, want)
	}
}

func ruleFrom(prefix string, a Action) Rule {
	return Rule{
		From:   netip.MustParsePrefix(prefix),
		Action: a,
	}
}

// A cut withholds the bytes of clients in one data centre, on open and on new connections.
// Other clients are not affected. The bytes arrive once the rule is removed.
func TestCutBySource(t *testing.T) {
	r := start(t, nil)
	cutConn, otherConn := dial(t, r, "127.0.1.1"), dial(t, r, "127.0.2.1")
	write(t, cutConn, "a")
	wantRead(t, cutConn, "a")
	if err := r.SetRules([]Rule{ruleFrom("127.0.1.0/24", Cut)}); err != nil {
		t.Fatal(err)
	}
	newConn := dial(t, r, "127.0.1.2")
	write(t, cutConn, "b")
	write(t, newConn, "c")
	write(t, otherConn, "d")
	wantRead(t, otherConn, "d")
	if got := r.Counts()[0]; got.BytesUp != 2 || got.BytesDown != 2 {
		t.Errorf("forwarded %d bytes up and %d down during the cut, want 2 and 2", got.BytesUp, got.BytesDown)
	}
	if err := r.SetRules(nil); err != nil {
		t.Fatal(err)
	}
	wantRead(t, cutConn, "b")
	wantRead(t, newConn, "c")
}

func TestCutOneWay(t *testing.T) {
	rule := ruleFrom("127.0.0.0/8", Cut)
	rule.Direction = Down
	r := start(t, nil, rule)
	c := dial(t, r, "127.0.1.1")
	write(t, c, "a")
	for r.Counts()[0].BytesUp < 1 {
		time.Sleep(time.Millisecond)
	}
	if got := r.Counts()[0].BytesDown; got != 0 {
		t.Errorf("forwarded %d bytes down, want none", got)
	}
	if err := r.SetRules(nil); err != nil {
		t.Fatal(err)
	}
	wantRead(t, c, "a")
}

func TestReset(t *testing.T) {
	r := start(t, nil)
	openConn := dial(t, r, "127.0.1.1")
	write(t, openConn, "a")
	wantRead(t, openConn, "a")
	if err := r.SetRules([]Rule{ruleFrom("127.0.0.0/8", Reset)}); err != nil {
		t.Fatal(err)
	}
	if _, err := openConn.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("read on an open connection: %v, want a reset", err)
	}
	// The reset of a new connection may arrive before Dial returns.
	dialled, err := net.Dial("tcp", r.links[0].Listen)
	if err == nil {
		defer dialled.Close()
		_, err = dialled.Read(make([]byte, 1))
	}
	if !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("dial and read of a new connection: %v, want a reset", err)
	}
}

func TestDelay(t *testing.T) {
	clock := clockwork.NewFakeClock()
	rule := ruleFrom("127.0.0.0/8", Pass)
	rule.DelayMicros = 1500
	r := start(t, clock, rule)
	c := dial(t, r, "127.0.1.1")
	write(t, c, "a")
	// The rule delays the byte once in each direction.
	for range 2 {
		if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
			t.Fatal(err)
		}
		clock.Advance(1500 * time.Microsecond)
	}
	wantRead(t, c, "a")
}

func TestHalfCloseIsForwarded(t *testing.T) {
	r := start(t, nil)
	c := dial(t, r, "127.0.1.1")
	write(t, c, "a")
	if err := c.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if b, err := io.ReadAll(c); err != nil || string(b) != "a" {
		t.Errorf("read %q, error %v; want a and the end of the stream", b, err)
	}
}

func TestFirstMatchingRuleApplies(t *testing.T) {
	set := newRuleSet([]Rule{
		{Link: "kv*", Action: Reset},
		ruleFrom("127.0.1.0/24", Cut),
		{Action: Pass, DelayMicros: 10},
	})
	tests := []struct {
		link   string
		source string
		want   Action
		delay  time.Duration
	}{
		{link: "kv-1", source: "127.0.1.1", want: Reset},
		{link: "d1", source: "127.0.1.1", want: Cut},
		{link: "d1", source: "127.0.2.1", want: Pass, delay: 10 * time.Microsecond},
	}
	for _, tt := range tests {
		action, delay := set.match(flow{
			link:      tt.link,
			from:      netip.MustParseAddr(tt.source),
			direction: Up,
		})
		if action != tt.want || delay != tt.delay {
			t.Errorf("link %s from %s: action %s, delay %v; want %s, %v", tt.link, tt.source, action, delay, tt.want, tt.delay)
		}
	}
}

func TestAdmin(t *testing.T) {
	h := start(t, nil).Handler()
	tests := []struct {
		method string
		path   string
		body   string
		code   int
		want   string
	}{
		{method: "POST", path: "/rules", body: `{"rules":[{"from":"127.0.1.0/24","action":"cut"}]}`, code: 200, want: "127.0.1.0/24"},
		{method: "POST", path: "/faults", body: `{"rules":[{"link":"kv","action":"reset"}]}`, code: 200, want: "reset"},
		{method: "GET", path: "/rules", code: 200, want: `"reset","delay":0},{"link":"","from":"127.0.1.0/24"`},
		{method: "POST", path: "/rules", body: `{"rules":[{"action":"drop"}]}`, code: 400, want: "field rules[0]: field action"},
		{method: "POST", path: "/rules", body: `{"rules":[{"action":"cut","link":"["}]}`, code: 400, want: "field link"},
		{method: "POST", path: "/rules", body: `{"rule":[]}`, code: 400, want: "unknown field"},
		{method: "POST", path: "/rules", body: `{"rules":[{"action":"cut","from":"x"}]}`, code: 400, want: "decode rules"},
		{method: "GET", path: "/links", code: 200, want: `"name":"echo"`},
	}
	for _, tt := range tests {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), tt.method, tt.path, strings.NewReader(tt.body)))
		if w.Code != tt.code || !strings.Contains(w.Body.String(), tt.want) {
			t.Errorf("%s %s: status %d, body %s; want status %d and a body with %s", tt.method, tt.path, w.Code, w.Body, tt.code, tt.want)
		}
	}
}

func TestParseRequiresLinkName(t *testing.T) {
	if _, err := Parse([]byte(`{"links": [{"listen": "127.0.0.1:0"}], /* no name */}`)); err == nil || !strings.Contains(err.Error(), "links[0]") {
		t.Errorf("Parse() = %v, want an error that names links[0]", err)
	}
}
