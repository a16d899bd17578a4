package configencoder

import (
	"testing"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"plantaincleat/tier/gen/config"
)

// TestUnknownOrdersArePassedOn guards against configurations that daemons cannot pass on to
// each other because one of them does not know a field of the policy, as older builds do not
// know the orders to evacuate data centres: the digest would not match.
func TestUnknownOrdersArePassedOn(t *testing.T) {
	sent := newConfig()
	order := protowire.AppendTag(nil, 1000, protowire.BytesType)
	order = protowire.AppendBytes(order, []byte("dc-1"))
	sent.Policy.ProtoReflect().SetUnknown(order)
	digest, err := Digest(sent)
	if err != nil {
		t.Fatal(err)
	}
	var received *config.Config
	for range 2 {
		set, err := NewPartSet(sent)
		if err != nil {
			t.Fatal(err)
		}
		parts, values := set.Export(nil)
		if received, err = (&PartSet{}).Import(parts, values); err != nil {
			t.Fatal(err)
		}
		sent = received
	}
	if !VerifyDigest(&config.Accepted{Head: &config.Head{Digest: digest}, Config: received}) {
		t.Errorf("configuration has another digest after it was passed on twice: %v", received)
	}
}

// TestEvacuationRewritesOnePart guards against orders that make daemons exchange the whole
// configuration.
func TestEvacuationRewritesOnePart(t *testing.T) {
	before, err := Encode(newConfig())
	if err != nil {
		t.Fatal(err)
	}
	changed := proto.CloneOf(newConfig())
	changed.Policy.Evacuations = []*config.Evacuation{{Datacentre: "dc-1", Revision: 7}}
	after, err := Encode(changed)
	if err != nil {
		t.Fatal(err)
	}
	for i := range before {
		if same := before[i].Digest == after[i].Digest; same == (before[i].Field == "policy") {
			t.Errorf("%s: same digest = %v", before[i].Field, same)
		}
	}
}
