package platform_test

import (
	"net"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/platform"
	standin "github.com/trefoilchute/trefoilchute/internal/standin/platform"
)

// start runs a platform stand-in and returns it and a client of it.
func start(t *testing.T, options standin.Options) (*standin.Server, *platform.Client) {
	t.Helper()
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	server := standin.New(options)
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	client := platform.NewClient("http://"+listener.Addr().String(), platform.Options{})
	t.Cleanup(func() {
		client.Close()
		g.Expect(server.Close()).To(Succeed())
		g.Expect(<-served).To(Succeed())
	})
	return server, client
}

func TestClientWritesAndReadsRows(t *testing.T) {
	g := NewWithT(t)
	_, client := start(t, standin.Options{})
	ctx := t.Context()

	_, err := client.Get(ctx, "a/1")
	g.Expect(err).To(MatchError(platform.ErrNotFound))
	create := platform.Txn{
		Conditions: []platform.Condition{{Key: "a/1"}},
		Puts:       []platform.Put{{Key: "a/1", Value: []byte("one")}, {Key: "a/2", Value: []byte("two")}},
	}
	version, err := client.Commit(ctx, create)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = client.Commit(ctx, create)
	g.Expect(err).To(MatchError(platform.ErrConflict))

	row, err := client.Get(ctx, "a/1")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(row).To(Equal(platform.Row{Key: "a/1", Value: []byte("one"), Version: version}))
	rows, err := client.List(ctx, "a/", "a/1", 10)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(rows).To(HaveLen(1))
	g.Expect(rows[0].Key).To(Equal("a/2"))
}
