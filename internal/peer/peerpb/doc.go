// Package peerpb holds the generated messages between entry hosts; peer.proto
// is their source.
package peerpb

import "google.golang.org/protobuf/proto"

//go:generate go run github.com/bufbuild/buf/cmd/buf@v1.75.0 generate --template ../../../buf.gen.yaml -o ../../.. ../../..

// Body is the interface of an Envelope's bodies.
type Body = isEnvelope_Body

// Wrap returns an envelope with the body; its sender is filled in on the way
// out.
func Wrap(body Body) *Envelope {
	return &Envelope{Body: body}
}

// Clone returns a copy of a message that shares nothing with it.
func Clone(m *Envelope) *Envelope {
	return proto.CloneOf(m)
}
