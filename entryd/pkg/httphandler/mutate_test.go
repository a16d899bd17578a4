package httphandler

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"plantaincleat/tier/pkg/indexer"
)

func TestRefusalBeforeClaimExecution(t *testing.T) {
	tests := []struct {
		name    string
		attempt string
		err     error
		want    Execution
	}{
		{
			name:    "first attempt",
			attempt: "1",
			err:     indexer.ErrUnknownCollection,
			want:    NotExecuted,
		},
		{
			name:    "later attempt",
			attempt: "2",
			err:     indexer.ErrUnknownCollection,
			want:    ExecutionUnknown,
		},
		{
			name: "no attempt number",
			err: &Refusal{
				Kind:      KindUnready,
				Execution: NotExecuted,
			},
			want: ExecutionUnknown,
		},
		{
			name:    "later attempt that is never executed",
			attempt: "2",
			err:     malformed("key", "is missing"),
			want:    NotExecuted,
		},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			r := httptest.NewRequest(http.MethodPost, "/v1/mutate", nil)
			if tc.attempt != "" {
				r.Header.Set(headerAttempt, tc.attempt)
			}
			if got := classify(refusalBeforeClaim(r, tc.err)).Execution; got != tc.want {
				t.Errorf("execution %q, want %q", got, tc.want)
			}
		})
	}
}
