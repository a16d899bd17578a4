package crowder

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// bodyBytes is the greatest legal body and headBytes the greatest legal head, as the
	// configuration of the simulated platform limits them.
	bodyBytes = 256 << 10
	headBytes = 16 << 10
	// routeHost is the host of the routes of the simulated platform.
	routeHost = "records.example"
)

// head returns the beginning of the head of a request, without the empty line at its end.
func head(method, path, id string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nRequest-Deadline: 60000\r\n", method, path, routeHost, id)
}

// withLength returns the bytes of a request whose body has a length. Only the first sent bytes of
// the body are there.
func withLength(path, id string, length, sent int) []byte {
	return append(fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n", head("POST", path, id), length), bytes.Repeat([]byte{'x'}, sent)...)
}

// inChunks returns the bytes of a request whose body has n chunks of a size. The last chunk, which
// ends the body, is left out unless whole is true.
func inChunks(path, id string, size, n int, whole bool) []byte {
	b := bytes.NewBufferString(head("POST", path, id) + "Transfer-Encoding: chunked\r\n\r\n")
	b.Write(chunkCache.get(shape{
		size: size,
		n:    n,
	}, chunks))
	if whole {
		b.WriteString("0\r\n\r\n")
	}
	return b.Bytes()
}

// shape is n pieces of a request that have a size in bytes each.
type shape struct {
	size, n int
}

// cache holds what was made for shapes already. To make many small pieces for each client takes longer
// than to send them. It is safe for concurrent use.
type cache struct {
	mu   sync.Mutex
	made map[shape][]byte
}

// get returns what makeBytes makes for a shape. It must not be changed.
func (c *cache) get(s shape, makeBytes func(s shape) []byte) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.made == nil {
		c.made = make(map[shape][]byte)
	}
	if c.made[s] == nil {
		c.made[s] = makeBytes(s)
	}
	return c.made[s]
}

var chunkCache, lineCache cache

// chunks returns chunks of a body.
func chunks(s shape) []byte {
	return bytes.Repeat(fmt.Appendf(nil, "%x\r\n%s\r\n", s.size, strings.Repeat("x", s.size)), s.n)
}

// headerLines returns header lines with different names. Names that are longer than a line make it longer.
func headerLines(s shape) []byte {
	var b bytes.Buffer
	for i := range s.n {
		name := fmt.Sprintf("%x:", i)
		b.WriteString(name + strings.Repeat("x", max(s.size-len(name)-len("\r\n"), 0)) + "\r\n")
	}
	return b.Bytes()
}

// longHead returns the head of a request, of about a size in bytes, that consists of lines of a
// length. It does not end.
func longHead(path, id string, size, line int) []byte {
	b := []byte(head("GET", path, id))
	return append(b, lineCache.get(shape{
		size: line,
		n:    max(size-len(b)-1, 0) / line,
	}, headerLines)...)
}

// pieces splits data into pieces of a size.
func pieces(data []byte, size int) [][]byte {
	var out [][]byte
	for len(data) > size {
		out = append(out, data[:size])
		data = data[size:]
	}
	return append(out, data)
}

// whole returns a client that sends data at once.
func whole(data []byte) Client {
	return Client{
		Pieces: [][]byte{data},
	}
}

// slowly returns a client that sends data in pieces.
func slowly(data []byte, size int, pause time.Duration) Client {
	return Client{
		Pieces: pieces(data, size),
		Pause:  pause,
	}
}
