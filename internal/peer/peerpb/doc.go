// Package peerpb holds the generated messages between entry hosts; peer.proto
// is their source.
package peerpb

//go:generate go run github.com/bufbuild/buf/cmd/buf@v1.75.0 generate --template ../../../buf.gen.yaml -o ../../.. ../../..
