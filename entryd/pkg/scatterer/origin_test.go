package scatterer

import (
	"net/http"
	"testing"

	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"

	"plantaincleat/entryd/pkg/cataloger"
	"plantaincleat/tier/gen/config"
	"plantaincleat/tier/gen/peer"
)

// TestOriginOfPeersRequest guards against an owner that ranks requests of older daemons, which
// state no rank, before all others, and that takes a caller's header for an institution.
func TestOriginOfPeersRequest(t *testing.T) {
	tests := []struct {
		name         string
		institutions []*config.Institution
		rank         *uint32
		want         string
		wantRank     uint32
	}{
		{name: "older daemon", institutions: []*config.Institution{{Name: "library"}}, want: "library", wantRank: 3},
		{name: "rank", institutions: []*config.Institution{{Name: "library"}}, rank: proto.Uint32(1), want: "library", wantRank: 1},
		{name: "highest rank", institutions: []*config.Institution{{Name: "library"}}, rank: proto.Uint32(0), want: "library"},
		{name: "no institutions", rank: proto.Uint32(1), wantRank: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			catalogs := cataloger.New(cataloger.Options{
				Clock: clockwork.NewFakeClock(),
			})
			catalogs.Adopt(&config.Accepted{
				Head: &config.Head{
					Revision: 1,
				},
				Config: &config.Config{
					Routes:       []*config.Route{{Name: "r", Rank: 3}},
					Institutions: test.institutions,
				},
			})
			s := &Scatterer{
				Options: Options{
					InstitutionHeader: "Institution",
				},
			}
			r := &Request{
				Header: http.Header{"Institution": []string{"library"}},
			}
			s.describeOrigin(r, &peer.ScatterRequest{Rank: test.rank}, catalogs.Catalog(), catalogs.Catalog().Route("r"))
			if r.Institution != test.want || r.Rank != test.wantRank {
				t.Errorf("institution %q and rank %d, want %q and %d", r.Institution, r.Rank, test.want, test.wantRank)
			}
		})
	}
}
