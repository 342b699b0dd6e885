package peerpb

import (
	"testing"

	"google.golang.org/protobuf/reflect/protoreflect"
)

// TestKindKnowsEveryBody guards against a new kind of message that is counted as unknown.
func TestKindKnowsEveryBody(t *testing.T) {
	bodies := (*Envelope)(nil).ProtoReflect().Descriptor().Oneofs().ByName("body").Fields()
	for i := range bodies.Len() {
		field := bodies.Get(i)
		m := &Envelope{}
		m.ProtoReflect().Set(field, protoreflect.ValueOfMessage(m.ProtoReflect().NewField(field).Message()))
		kind := Kind(m)
		if kind != int(field.Number()) || kind >= NumKinds || KindName(kind) != string(field.Name()) {
			t.Errorf("%s: kind %d, named %q", field.Name(), kind, KindName(kind))
		}
	}
	if got := KindName(Kind(&Envelope{})); got != "unknown" {
		t.Errorf("a message without a body is %q", got)
	}
}
