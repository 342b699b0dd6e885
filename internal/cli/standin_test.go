package cli

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"regexp"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/trefoilchute/trefoilchute/internal/standin/engine"
	"github.com/trefoilchute/trefoilchute/internal/standin/platform"
	"github.com/trefoilchute/trefoilchute/internal/standin/service"
)

func TestStandinSaysWhenItIsReady(t *testing.T) {
	cases := map[string]struct {
		args []string
		path string
	}{
		"platform": {[]string{"standin", "platform", "--listen", "127.0.0.1:0"}, platform.PathCounters},
		"engine":   {[]string{"standin", "endpoint", "--listen", "127.0.0.1:0", "--name", "e1"}, engine.PathArrivals},
		"service": {
			[]string{"standin", "endpoint", "--listen", "127.0.0.1:0", "--name", "s1", "--type", "service"},
			service.PathArrivals,
		},
	}
	ready := regexp.MustCompile(`addr="([0-9.:]+)" event=ready`)
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			out, in := io.Pipe()
			command := standinCommand()
			command.Writer = in
			ended := make(chan error, 1)
			go func() { ended <- command.Run(ctx, c.args) }()
			line, err := bufio.NewReader(out).ReadString('\n')
			g.Expect(err).NotTo(HaveOccurred())
			found := ready.FindStringSubmatch(line)
			g.Expect(found).To(HaveLen(2), line)
			response, err := http.Get("http://" + found[1] + c.path)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(response.StatusCode).To(Equal(http.StatusOK))
			g.Expect(response.Body.Close()).To(Succeed())
			cancel()
			g.Expect(<-ended).To(Succeed())
		})
	}
}

func TestStandinRefusesUnknownKinds(t *testing.T) {
	g := NewWithT(t)
	for _, flags := range [][]string{{"--type", "teapot"}, {"--fencing", "sometimes"}} {
		args := append([]string{"standin", "endpoint", "--listen", "127.0.0.1:0", "--name", "x"}, flags...)
		g.Expect(standinCommand().Run(t.Context(), args)).To(MatchError(ContainSubstring("unknown")))
	}
}
