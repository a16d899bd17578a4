package crowder

import (
	"bytes"
	"fmt"
	"strings"
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
	chunk := fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size))
	for range n {
		b.WriteString(chunk)
	}
	if whole {
		b.WriteString("0\r\n\r\n")
	}
	return b.Bytes()
}

// longHead returns the head of a request, of about a size in bytes, that consists of lines of a
// length. It does not end.
func longHead(path, id string, size, line int) []byte {
	b := bytes.NewBufferString(head("GET", path, id))
	for i := 0; b.Len() < size-line; i++ {
		name := fmt.Sprintf("%x:", i)
		b.WriteString(name + strings.Repeat("x", max(line-len(name)-len("\r\n"), 0)) + "\r\n")
	}
	return b.Bytes()
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
