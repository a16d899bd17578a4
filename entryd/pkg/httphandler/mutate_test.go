package httphandler

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"plantaincleat/tier/pkg/indexer"
)

func TestRefusalBeforeTheClaimSpeaksForAllSends(t *testing.T) {
	tests := []struct {
		name    string
		attempt string
		err     error
		want    Run
	}{
		{
			name:    "first send",
			attempt: "1",
			err:     indexer.ErrUnknownCollection,
			want:    RunNo,
		},
		{
			name:    "resend",
			attempt: "2",
			err:     indexer.ErrUnknownCollection,
			want:    RunUnknown,
		},
		{
			name: "without a number",
			err: &Refusal{
				Kind: KindUnready,
				Run:  RunNo,
			},
			want: RunUnknown,
		},
		{
			name:    "that cannot be run at any time",
			attempt: "2",
			err:     malformed("key", "is missing"),
			want:    RunNo,
		},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			r := httptest.NewRequest(http.MethodPost, "/v1/mutate", nil)
			if tc.attempt != "" {
				r.Header.Set(headerAttempt, tc.attempt)
			}
			if got := classify(unclaimed(r, tc.err)).Run; got != tc.want {
				t.Errorf("run %q, want %q", got, tc.want)
			}
		})
	}
}
