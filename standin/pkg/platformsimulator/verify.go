package platformsimulator

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"plantaincleat/standin/pkg/httpresponder"
)

// Headers of merged answers.
const (
	headerSignatures = "Part-Signatures"
	headerMissing    = "Missing-Parts"
)

// FindSigner returns the target whose signature for a request s is, nil if there is
// none.
func (w *Platform) FindSigner(s, request string) *Target {
	for _, t := range w.AllTargets() {
		if t.Signature(request) == s {
			return t
		}
	}
	return nil
}

// VerifyAnswer checks that an answer to a request is merged from the answers of targets
// of distinct services and holds the top greatest records of these. It returns the
// services, and the number of those that the answer says are missing.
func (w *Platform) VerifyAnswer(request string, header http.Header, body []byte, top int) (services []string, missing int, err error) {
	missing, err = strconv.Atoi(header.Get(headerMissing))
	if err != nil {
		return nil, 0, fmt.Errorf("header %s: %w", headerMissing, err)
	}
	var records [][]byte
	for s := range strings.SplitSeq(header.Get(headerSignatures), ", ") {
		t := w.FindSigner(s, request)
		if t == nil {
			return nil, 0, fmt.Errorf("signature %q is no target's for request %s", s, request)
		}
		if slices.Contains(services, t.Service) {
			return nil, 0, fmt.Errorf("two parts of %s", t.Service)
		}
		services = append(services, t.Service)
		records = append(records, slices.Collect(slices.Chunk(t.Records(), httpresponder.RecordSize))...)
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	if want := slices.Concat(records[:top]...); !bytes.Equal(body, want) {
		return nil, 0, fmt.Errorf("%d bytes are not the greatest records of the parts", len(body))
	}
	return services, missing, nil
}
