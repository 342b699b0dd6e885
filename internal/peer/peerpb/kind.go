package peerpb

import "google.golang.org/protobuf/reflect/protoreflect"

// NumKinds is the number of kinds that Kind tells apart: the field numbers of the bodies of
// an Envelope, with room for later ones.
const NumKinds = 32

// Kind returns the number of a message's kind, less than NumKinds: the field number of its
// body, or 0 if it has none that this version knows. It reads no message by reflection, since
// it runs for every message.
func Kind(m *Envelope) int {
	if control, ok := controlKind(m); ok {
		return control
	}
	switch m.GetBody().(type) {
	case *Envelope_Submit:
		return 10
	case *Envelope_Grant:
		return 11
	case *Envelope_Refuse:
		return 12
	case *Envelope_Report:
		return 13
	case *Envelope_Cancel:
		return 14
	case *Envelope_Holdings:
		return 15
	case *Envelope_TakeOver:
		return 16
	case *Envelope_KeyNote:
		return 17
	case *Envelope_KeyAnswer:
		return 18
	case *Envelope_Join:
		return 19
	case *Envelope_Part:
		return 20
	case *Envelope_Spill:
		return 23
	case *Envelope_Accept:
		return 24
	}
	return 0
}

// controlKind returns the kind of a message that is not about single requests.
func controlKind(m *Envelope) (int, bool) {
	switch m.GetBody().(type) {
	case *Envelope_Hello:
		return 3, true
	case *Envelope_Ping:
		return 4, true
	case *Envelope_Ack:
		return 5, true
	case *Envelope_PingReq:
		return 6, true
	case *Envelope_ConfigOffer:
		return 7, true
	case *Envelope_ConfigPull:
		return 8, true
	case *Envelope_ConfigState:
		return 9, true
	case *Envelope_Quarantine:
		return 21, true
	case *Envelope_PoolStatus:
		return 22, true
	case *Envelope_Usage:
		return 25, true
	case *Envelope_StoreAsk:
		return 26, true
	case *Envelope_StoreTell:
		return 27, true
	case *Envelope_Leaving:
		return 28, true
	}
	return 0, false
}

// KindName returns the name of a kind of message: that of the body's field in peer.proto.
func KindName(kind int) string {
	field := (*Envelope)(nil).ProtoReflect().Descriptor().Fields().ByNumber(protoreflect.FieldNumber(kind))
	if kind < firstKind || field == nil {
		return "unknown"
	}
	return string(field.Name())
}

// firstKind is the lowest field number of a body.
const firstKind = 3
