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

// Headers of answers that a daemon merges from several targets.
const (
	headerSignatures = "Part-Signatures"
	headerMissing    = "Missing-Parts"
)

// FindSigner returns the target that signs its answer to a request with signature,
// or nil if there is none.
func (p *Platform) FindSigner(signature, request string) *Target {
	for _, t := range p.AllTargets() {
		if t.Signature(request) == signature {
			return t
		}
	}
	return nil
}

// VerifyAnswer checks that an answer is merged from targets of distinct services. It
// also checks that the answer consists of the records of these targets in descending
// order, limited to the number top. It returns the services, and the number of services
// that the answer reports as missing.
func (p *Platform) VerifyAnswer(request string, header http.Header, body []byte, top int) (services []string, missing int, err error) {
	missing, err = strconv.Atoi(header.Get(headerMissing))
	if err != nil {
		return nil, 0, fmt.Errorf("parse header %s: %w", headerMissing, err)
	}
	var records [][]byte
	for signature := range strings.SplitSeq(header.Get(headerSignatures), ", ") {
		t := p.FindSigner(signature, request)
		if t == nil {
			return nil, 0, fmt.Errorf("signature %q of request %s belongs to no target", signature, request)
		}
		if slices.Contains(services, t.Service) {
			return nil, 0, fmt.Errorf("answer holds two parts from service %s", t.Service)
		}
		services = append(services, t.Service)
		records = append(records, slices.Collect(slices.Chunk(t.Records(), httpresponder.RecordSize))...)
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	if want := slices.Concat(records[:top]...); !bytes.Equal(body, want) {
		return nil, 0, fmt.Errorf("answer body of %d bytes is not the concatenation of the greatest records of its parts", len(body))
	}
	return services, missing, nil
}
