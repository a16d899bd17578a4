package scatterer

import (
	"net/http"

	"plantaincleat/tier/gen/peer"
)

// encodeHeaders returns the headers of a request or an answer for another daemon.
func encodeHeaders(header http.Header) []*peer.Header {
	var out []*peer.Header
	for name, values := range header {
		for _, v := range values {
			out = append(out, &peer.Header{
				Name:  []byte(name),
				Value: []byte(v),
			})
		}
	}
	return out
}

// decodeHeaders returns the headers that another daemon has sent.
func decodeHeaders(headers []*peer.Header) http.Header {
	out := make(http.Header, len(headers))
	for _, h := range headers {
		out.Add(string(h.GetName()), string(h.GetValue()))
	}
	return out
}

// encodeSignatures returns the signatures of targets for another daemon.
func encodeSignatures(signatures []string) [][]byte {
	var out [][]byte
	for _, s := range signatures {
		out = append(out, []byte(s))
	}
	return out
}

// decodeSignatures returns the signatures that another daemon has sent.
func decodeSignatures(signatures [][]byte) []string {
	var out []string
	for _, s := range signatures {
		out = append(out, string(s))
	}
	return out
}
