package cursorencoder

import (
	"errors"
	"testing"

	"google.golang.org/protobuf/proto"

	"plantaincleat/tier/gen/peer"
	"plantaincleat/tier/gen/target"
)

func newCursor() *peer.Cursor {
	return &peer.Cursor{
		Collection: "skills",
		Version:    "2",
		Snapshot:   "s9",
		Query:      7,
		Place: &target.Place{
			Score: 0.5,
			Key:   "k",
		},
	}
}

func TestRoundTrip(t *testing.T) {
	got, err := Decode(Encode(newCursor()), 7)
	if err != nil || !proto.Equal(got, newCursor()) {
		t.Errorf("Decode(Encode(c)) = %v, %v, want c", got, err)
	}
	if _, err := Decode(Encode(newCursor()), 8); !errors.Is(err, ErrQueryMismatch) {
		t.Errorf("Decode() for another query = %v, want ErrQueryMismatch", err)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(Encode(newCursor()))
	f.Add("")
	f.Add("AAAA")
	f.Fuzz(func(t *testing.T, text string) {
		c, err := Decode(text, 7)
		if err == nil && Encode(c) == "" {
			t.Errorf("Decode(%q) returned a cursor that can not be encoded", text)
		}
	})
}
