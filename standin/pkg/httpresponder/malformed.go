package httpresponder

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"time"
)

// writeMalformed takes over the connection and writes an answer that a correct
// server does not send.
func (r *Responder) writeMalformed(w http.ResponseWriter, id string, fault Fault) {
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = conn.Close() }()
	body := r.Records()
	writeAnswer := func(id string) {
		r.writeHead(buffer.Writer, id, fmt.Sprintf("Content-Length: %d\r\n", len(body)))
		_, _ = buffer.Write(body)
	}
	switch fault {
	case Truncate:
		r.writeHead(buffer.Writer, id, fmt.Sprintf("Content-Length: %d\r\n", len(body)))
		_, _ = buffer.Write(body[:len(body)/2])
	case TruncateHead:
		var head bytes.Buffer
		r.writeHead(&head, id, fmt.Sprintf("Content-Length: %d\r\n", len(body)))
		_, _ = buffer.Write(head.Bytes()[:head.Len()/2])
	case NoContentLength:
		r.writeHead(buffer.Writer, id, "Connection: close\r\n")
		_, _ = buffer.Write(body)
	case ExtraAnswer:
		writeAnswer(id)
		writeAnswer(id)
	case MismatchedAnswer:
		writeAnswer("another")
		writeAnswer(id)
	case StrayRefusal:
		_, _ = fmt.Fprintf(buffer, "HTTP/1.1 503 Service Unavailable\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", headerNotExecuted)
		writeAnswer(id)
	}
	_ = buffer.Flush()
	if fault == ExtraAnswer || fault == MismatchedAnswer || fault == StrayRefusal {
		// A correct target keeps the connection open. The caller must detect the
		// extra bytes on it.
		time.Sleep(lingerTime)
	}
}

// lingerTime is how long a connection stays open after ExtraAnswer and
// MismatchedAnswer.
const lingerTime = 300 * time.Millisecond

func (r *Responder) writeHead(w io.Writer, id, framing string) {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n%s\r\n", headerRequestID, id, headerSignature, r.Signature(id), framing)
}
