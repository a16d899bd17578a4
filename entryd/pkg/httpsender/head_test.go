package httpsender

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"
)

// TestInvalidStatusIsIncomplete guards against bytes with a status that HTTP does not define, which
// count as an answer or as an interim response, and against an interim response that counts as the
// answer to a probe.
func TestInvalidStatusIsIncomplete(t *testing.T) {
	const end = "Request-Id: a\r\nContent-Length: 0\r\n\r\n"
	tests := []struct {
		name, text string
		// status is that of the answer, or zero if there is none.
		status int
	}{
		{name: "answer", text: "HTTP/1.1 200 OK\r\n" + end, status: http.StatusOK},
		{name: "greatest status", text: "HTTP/1.1 599 X\r\n" + end, status: 599},
		{name: "answer after an interim response", text: "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 500 X\r\n" + end, status: http.StatusInternalServerError},
		{name: "000", text: "HTTP/1.1 000 X\r\n" + end},
		{name: "000 before an answer", text: "HTTP/1.1 000 X\r\n\r\nHTTP/1.1 200 OK\r\n" + end},
		{name: "099", text: "HTTP/1.1 099 X\r\n" + end},
		{name: "600", text: "HTTP/1.1 600 X\r\n" + end},
		{name: "999", text: "HTTP/1.1 999 X\r\n" + end},
		{name: "only interim responses", text: "HTTP/1.1 103 X\r\n\r\nHTTP/1.1 103 X\r\n\r\nHTTP/1.1 103 X\r\n\r\nHTTP/1.1 103 X\r\n\r\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newTarget(t, func(int, *http.Request) (string, bool) { return test.text, false })
			cl := s.client(1)
			begin := time.Now()
			answer, err := do(cl, request("a"))
			switch {
			case test.status == 0 && !errors.Is(err, ErrIncomplete):
				t.Errorf("answer %v and error %v, want that it is incomplete", answer, err)
			case test.status != 0 && (err != nil || answer.Status != test.status):
				t.Errorf("answer %v and error %v, want status %d", answer, err, test.status)
			}
			if took := time.Since(begin); took > time.Second {
				t.Errorf("took %v, want an end before the deadline", took)
			}
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			answer, err = cl.Probe(ctx, "/health")
			if ok := test.status != 0; ok != (err == nil) || ok && answer.Status != test.status {
				t.Errorf("answer %v to a probe and error %v, want status %d", answer, err, test.status)
			}
		})
	}
}
