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
				Name:  name,
				Value: v,
			})
		}
	}
	return out
}

// decodeHeaders returns the headers that another daemon has sent.
func decodeHeaders(headers []*peer.Header) http.Header {
	out := make(http.Header, len(headers))
	for _, h := range headers {
		out.Add(h.GetName(), h.GetValue())
	}
	return out
}
