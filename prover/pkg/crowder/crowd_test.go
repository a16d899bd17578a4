package crowder

import (
	"bufio"
	"cmp"
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"plantaincleat/prover/pkg/deployer"
)

// scale is the host of the daemons, whose limits are the bounds of the tests, and the number of clients
// of a crowd.
type scale struct {
	// memory is in MB.
	memory, descriptors, clients int
}

var (
	large = flag.Bool("large", false, "use hosts of the usual size and a crowd for them, by hand")
	// smallScale has hosts that are smaller than any real one.
	smallScale = scale{
		memory:      128,
		descriptors: 512,
		clients:     700,
	}
	largeScale = scale{
		memory:      284,
		descriptors: 4100,
		clients:     5000,
	}
)

// sizes returns the scale of the tests.
func sizes() scale {
	if *large {
		return largeScale
	}
	return smallScale
}

const (
	// callerPatience is the time for which an ordinary caller waits for an answer.
	callerPatience = 10 * time.Second
	// readyTimeout bounds the start of a fleet.
	readyTimeout = 10 * time.Second
	buildLimit   = 2 * time.Minute
)

// startFleet builds the daemon and starts some of them.
func startFleet(t *testing.T, o Options) *Fleet {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), buildLimit)
	defer cancel()
	directory := t.TempDir()
	program, err := deployer.BuildFrontd(ctx, directory)
	if err != nil {
		t.Fatal(err)
	}
	o.Program, o.Directory = program, directory
	o.Host = fmt.Sprintf(`, "host": {"memory": %d, "descriptors": %d}`, sizes().memory, sizes().descriptors)
	f, err := StartFleet(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	t.Cleanup(func() {
		if t.Failed() {
			showLogs(t, directory)
		}
	})
	for _, d := range f.Daemons {
		for end := time.Now().Add(readyTimeout); !d.Ready(); time.Sleep(sampleInterval) {
			if time.Now().After(end) {
				t.Fatal("daemon is not ready")
			}
		}
	}
	return f
}

// showLogs logs the ends of the daemons' logs.
func showLogs(t *testing.T, directory string) {
	const shown = 2 << 10
	logs, _ := filepath.Glob(filepath.Join(directory, "*.log"))
	for _, name := range logs {
		if data, err := os.ReadFile(name); err == nil {
			t.Logf("%s:\n%s", filepath.Base(name), data[max(len(data)-shown, 0):])
		}
	}
}

// check checks that a daemon lives and has stayed within its host.
func (w *Watch) check(t *testing.T, name string) {
	t.Helper()
	if w.Ended() {
		t.Fatalf("%s has ended", name)
	}
	memory, err := w.Memory()
	if err != nil {
		t.Fatal(err)
	}
	host := sizes()
	if memory > int64(host.memory)<<20 {
		t.Errorf("%s took up to %d MB, its host has %d", name, memory>>20, host.memory)
	}
	if n := w.Descriptors(); n > int64(host.descriptors) {
		t.Errorf("%s had up to %d descriptors open, its host has %d", name, n, host.descriptors)
	}
	t.Logf("%s took up to %d MB and %d descriptors", name, memory>>20, w.Descriptors())
}

// checkServed checks that each daemon answers an ordinary request.
func (f *Fleet) checkServed(t *testing.T) {
	t.Helper()
	client := &http.Client{
		Timeout:   callerPatience,
		Transport: &http.Transport{DisableKeepAlives: true},
	}
	for i, d := range f.Daemons {
		req, err := http.NewRequest(http.MethodPost, "http://"+d.Address(portHTTP)+"/write/x", strings.NewReader("ordinary"))
		if err != nil {
			t.Fatal(err)
		}
		req.Host = routeHost
		req.Header.Set("Request-Id", fmt.Sprintf("ordinary-%d", i))
		resp, err := client.Do(req)
		if err != nil {
			t.Errorf("ordinary request to daemon %d: %v", i, err)
			continue
		}
		body, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			t.Errorf("ordinary request to daemon %d: status %d: %s", i, resp.StatusCode, body)
		}
	}
}

// checkPromises checks that no target has executed a request that was refused with a promise.
func (f *Fleet) checkPromises(t *testing.T, refused []string) {
	t.Helper()
	for _, id := range refused {
		if n := f.Platform.Executions(id); n > 0 {
			t.Errorf("request %s was refused, and executed %d times", id, n)
		}
	}
	t.Logf("%d requests refused", len(refused))
}

// TestSingleRequestIsServed guards against bounds that one request within the limits of the
// configuration meets in calm.
func TestSingleRequestIsServed(t *testing.T) {
	const pause = time.Millisecond
	f := startFleet(t, Options{
		Daemons: 1,
		Shards:  4,
	})
	tests := []struct {
		name   string
		client func(id string) Client
	}{
		{name: "whole", client: func(id string) Client { return whole(withLength("/write/x", id, bodyBytes, bodyBytes)) }},
		{name: "in pieces", client: func(id string) Client { return slowly(withLength("/write/x", id, bodyBytes, bodyBytes), 8<<10, pause) }},
		{name: "in large chunks", client: func(id string) Client { return whole(inChunks("/write/x", id, bodyBytes/4, 4, true)) }},
		{name: "in chunks of a byte", client: func(id string) Client { return whole(inChunks("/write/x", id, 1, bodyBytes, true)) }},
		{name: "over shards", client: func(id string) Client { return whole(withLength("/all/x", id, bodyBytes, bodyBytes)) }},
		{name: "head at the limit, short lines", client: func(id string) Client {
			return whole(append(longHead("/one/x", id, headBytes, 12), []byte("\r\n")...))
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			conn, err := net.Dial("tcp", f.Daemons[0].Address(portHTTP))
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			client := test.client("single " + test.name)
			go func() {
				for _, piece := range client.Pieces {
					_, _ = conn.Write(piece)
					time.Sleep(client.Pause)
				}
			}()
			_ = conn.SetReadDeadline(time.Now().Add(callerPatience))
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			body, _ := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				t.Errorf("status %d: %s", resp.StatusCode, body)
			}
		})
	}
	f.Daemons[0].check(t, "daemon")
}

// crowdTest is a crowd at one daemon.
type crowdTest struct {
	name string
	// daemons is the number of daemons, one if zero. everywhere is true if there is a crowd at each.
	daemons    int
	everywhere bool
	// shards is the number of shards, four if zero, and records that of the records in the answers of
	// targets, the usual one if zero.
	shards, records int
	// work is the time that targets need for a request.
	work   time.Duration
	port   int
	client func(id string) Client
}

func (c crowdTest) run(t *testing.T) {
	if playCrowd(c.client) {
		return
	}
	f := startFleet(t, Options{
		Daemons: cmp.Or(c.daemons, 1),
		Shards:  cmp.Or(c.shards, 4),
		Records: c.records,
	})
	for _, target := range f.Platform.AllTargets() {
		target.SetExecutionTime(c.work)
	}
	var crowds []*crowdProcess
	for i, d := range f.Daemons {
		if i > 0 && !c.everywhere {
			break
		}
		crowds = append(crowds, gather(t, d.Address(c.port), fmt.Sprintf("crowd-%d", i)))
	}
	f.checkServed(t)
	for _, crowd := range crowds {
		f.checkPromises(t, crowd.disperse(t))
	}
	for i, d := range f.Daemons {
		d.check(t, fmt.Sprintf("daemon %d", i))
	}
}

// TestCrowdOfBodies guards against daemons that run out of memory, or out of descriptors, or answer
// nobody else, because many callers send large bodies of legal size at once and do not end them.
func TestCrowdOfBodies(t *testing.T) {
	const pause = 20 * time.Millisecond
	tests := []crowdTest{
		{name: "whole", client: func(id string) Client { return whole(withLength("/write/x", id, bodyBytes, bodyBytes)) }},
		{name: "whole, one byte short", client: func(id string) Client { return whole(withLength("/write/x", id, bodyBytes, bodyBytes-1)) }},
		{name: "in pieces, one byte short", client: func(id string) Client {
			return slowly(withLength("/write/x", id, bodyBytes, bodyBytes-1), 8<<10, pause)
		}},
		{name: "in large chunks", client: func(id string) Client { return whole(inChunks("/write/x", id, bodyBytes/4, 4, true)) }},
		{name: "in large chunks, not ended", client: func(id string) Client { return whole(inChunks("/write/x", id, bodyBytes/4, 4, false)) }},
		{name: "in chunks of a byte", client: func(id string) Client { return whole(inChunks("/write/x", id, 1, bodyBytes, true)) }},
		{name: "in chunks of a byte, not ended", client: func(id string) Client { return whole(inChunks("/write/x", id, 1, bodyBytes, false)) }},
		{name: "in chunks of a byte and in pieces, not ended", client: func(id string) Client {
			return slowly(inChunks("/write/x", id, 1, bodyBytes, false), 16<<10, pause)
		}},
		{name: "without a route", client: func(id string) Client { return whole(withLength("/none/x", id, bodyBytes, bodyBytes-1)) }},
		{name: "over the limit", client: func(id string) Client { return whole(withLength("/write/x", id, 4*bodyBytes, 4*bodyBytes-1)) }},
		{name: "trailer not ended", client: func(id string) Client {
			return whole(append(inChunks("/write/x", id, bodyBytes/4, 4, false), []byte("0\r\n"+strings.Repeat("a:\r\n", 900))...))
		}},
		{name: "byte by byte", client: func(id string) Client { return slowly(withLength("/write/x", id, bodyBytes, 20<<10), 1, 0) }},
		{name: "over shards, three daemons", daemons: 3, client: func(id string) Client { return whole(withLength("/all/x", id, bodyBytes, bodyBytes)) }},
		{name: "over shards, at each of three daemons", daemons: 3, everywhere: true, client: func(id string) Client { return whole(withLength("/all/x", id, bodyBytes, bodyBytes)) }},
	}
	for _, test := range tests {
		t.Run(test.name, test.run)
	}
}

// TestCrowdOfHeads guards against daemons that run out of memory because many callers send large
// heads, within the limit or beyond it, and do not end them.
func TestCrowdOfHeads(t *testing.T) {
	tests := []crowdTest{
		{name: "within the limit", client: func(id string) Client { return whole(longHead("/one/x", id, headBytes, 1<<10)) }},
		{name: "within the limit, short lines", client: func(id string) Client { return whole(longHead("/one/x", id, headBytes, 8)) }},
		{name: "within the limit, short lines, ended", client: func(id string) Client {
			return whole(append(longHead("/write/x", id, headBytes, 8), []byte("Content-Length: 262144\r\n\r\n")...))
		}},
		{name: "beyond the limit", client: func(id string) Client { return whole(longHead("/one/x", id, 1000<<10, 1<<10)) }},
		{name: "beyond the limit, short lines", client: func(id string) Client { return whole(longHead("/one/x", id, 1000<<10, 8)) }},
	}
	for _, test := range tests {
		t.Run(test.name, test.run)
	}
}

// TestCrowdOfConnections guards against daemons that run out of descriptors or memory because many
// callers keep connections open, on any of their listeners.
func TestCrowdOfConnections(t *testing.T) {
	silent := func(string) Client { return Client{} }
	tests := []crowdTest{
		{name: "callers, silent", port: portHTTP, client: silent},
		{name: "callers, a request each", port: portHTTP, client: func(id string) Client { return whole([]byte(head("GET", "/one/x", id) + "\r\n")) }},
		{name: "callers, a query over many shards each", shards: 30, client: func(id string) Client { return whole([]byte(head("GET", "/all/x", id) + "\r\n")) }},
		{name: "callers, a query over many shards each, slow targets", shards: 30, work: 300 * time.Millisecond, client: func(id string) Client { return whole([]byte(head("GET", "/all/x", id) + "\r\n")) }},
		{name: "peers, silent", port: portPeer, client: silent},
		{name: "peers, preface", port: portPeer, client: func(string) Client {
			return whole([]byte("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x00\x04\x00\x00\x00\x00\x00"))
		}},
		{name: "readiness, silent", port: portAdmin, client: silent},
		{name: "readiness, long heads", port: portAdmin, client: func(id string) Client { return whole(longHead("/plantaincleat/readiness", id, 1000<<10, 1<<10)) }},
		{name: "metrics, silent", port: portMetrics, client: silent},
		{name: "metrics, bodies", port: portMetrics, client: func(id string) Client { return whole(withLength("/metrics", id, bodyBytes, bodyBytes-1)) }},
	}
	for _, test := range tests {
		t.Run(test.name, test.run)
	}
}

// TestCrowdThatReadsNothing guards against daemons that run out of memory because many callers send
// requests, also many on one connection, and do not read the answers.
func TestCrowdThatReadsNothing(t *testing.T) {
	const pipelined = 2000
	// answerRecords make answers of 200 KB.
	const answerRecords = 200 << 10 / 16
	tests := []crowdTest{
		{name: "one request", client: func(id string) Client {
			return Client{
				Pieces: [][]byte{[]byte(head("GET", "/one/x", id) + "\r\n")},
				Deaf:   true,
			}
		}},
		{name: "many requests", client: func(id string) Client {
			return Client{
				Pieces: [][]byte{[]byte(strings.Repeat(head("GET", "/none/x", id)+"\r\n", pipelined))},
				Deaf:   true,
			}
		}},
		{name: "large answers", records: answerRecords, client: func(id string) Client {
			return Client{
				Pieces: [][]byte{[]byte(strings.Repeat(head("GET", "/one/x", id)+"\r\n", 30))},
				Deaf:   true,
			}
		}},
	}
	for _, test := range tests {
		t.Run(test.name, test.run)
	}
}
