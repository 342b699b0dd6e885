package cli

import (
	"bytes"
	"net"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/standin/engine"
)

func TestLoadFailsIfAnswersAreFaulty(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	server := engine.New(engine.Options{Speed: engine.Speed{PrefillRate: 1e7, DecodeRate: 1e4}})
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	defer func() {
		g.Expect(server.Close()).To(Succeed())
		g.Expect(<-served).To(Succeed())
	}()
	load := func() (string, error) {
		var out bytes.Buffer
		command := loadCommand()
		command.Writer = &out
		err := command.Run(t.Context(), []string{
			"load", "--target", "http://" + listener.Addr().String(), "--rate", "500", "--requests", "10", "--output-tokens", "2:5",
		})
		return out.String(), err
	}
	out, err := load()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(out).To(ContainSubstring("offered=10 whole=10"))
	server.Set(engine.Switches{Cross: 1})
	out, err = load()
	g.Expect(err).To(MatchError(ContainSubstring("1 answers were cut or not the ones")))
	g.Expect(out).To(ContainSubstring("whole=9"))
}

func TestLoadRefusesOtherMachines(t *testing.T) {
	g := NewWithT(t)
	err := loadCommand().Run(t.Context(), []string{"load", "--target", "http://192.0.2.1:80"})
	g.Expect(err).To(MatchError(ContainSubstring("not a loopback IP address")))
	err = loadCommand().Run(t.Context(), []string{"load", "--target", "http://127.0.0.1:80", "--prompt-tokens", "many"})
	g.Expect(err).To(MatchError(ContainSubstring("not a range of lengths: many")))
}
