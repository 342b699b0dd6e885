package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/trefoilchute/trefoilchute/internal/inifile"
)

// TestPage holds docs/SETTINGS.md to the code.
func TestPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/SETTINGS.md")
	if err != nil {
		t.Fatal(err)
	}
	if string(page) != Markdown() {
		t.Error("docs/SETTINGS.md is not up to date; run go generate ./...")
	}
}

func TestExample(t *testing.T) {
	g := NewWithT(t)
	entry, err := Parse("example.ini", []byte(markdownExample))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(entry).To(Equal(&Entry{
		Host: "entry-a1", Domain: "a", Listen: "10.1.0.11:7070",
		AdminListen: "10.1.0.11:7071", AdminToken: "replace-this-token",
		PeerListen: "10.1.0.11:7072", PeerSecret: "replace-this-secret",
		Platform: "http://10.1.0.9:7000", LogLevel: "info", DrainGrace: 10 * time.Minute,
	}))
}

// TestSamples checks that each sample of settings is valid.
func TestSamples(t *testing.T) {
	files, err := filepath.Glob("../../samples/settings/*.ini")
	if err != nil || len(files) == 0 {
		t.Fatal("no samples", err)
	}
	for _, file := range files {
		_, err := Read(file)
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
	}
}

func TestProblems(t *testing.T) {
	cases := map[string]struct{ old, replacement, want string }{
		"unknown section":   {"[admin]", "[boss]", "s.ini:8: [boss] expected one of the sections host, callers,"},
		"unknown key":       {"domain = a", "domain = a\nzone = b", "s.ini:4: [host] zone: expected one of the keys name, domain, drain_grace"},
		"missing key":       {"secret = replace-this-secret", "", "[peer] secret: expected the key"},
		"missing section":   {"[platform]\nurl = http://10.1.0.9:7000", "", "[platform] url: expected the key"},
		"host name":         {"10.1.0.11:7070", "entry:7070", "s.ini:6: [callers] listen: expected an IP address and port"},
		"platform name":     {"http://10.1.0.9:7000", "http://platform:7000", "[platform] url: expected http:// with an IP address and port"},
		"platform path":     {"http://10.1.0.9:7000", "http://10.1.0.9:7000/v1", "[platform] url: expected http:// with an IP address"},
		"time without unit": {"domain = a", "domain = a\ndrain_grace = 30", "s.ini:4: [host] drain_grace: expected a time with its unit"},
		"bad seed":          {"secret", "seeds = 10.0.0.1:1, host:2\nsecret", "[peer] seeds: expected IP addresses and ports"},
		"short secret":      {"replace-this-secret", "short", "[peer] secret: expected 16 to 256 printable characters"},
		"level":             {"[platform]", "[log]\nlevel = loud\n[platform]", "[log] level: expected one of error, warning, info, debug"},
		"no token":          {"token = replace-this-token", "", "[admin] token: expected a token where admin listens beyond loopback"},
		"any peer address":  {"10.1.0.11:7072", "0.0.0.0:7072", "[peer] listen: expected an address that other hosts can dial"},
		"same address":      {"10.1.0.11:7072", "10.1.0.11:7070", "expected three addresses that differ"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(markdownExample, c.old, c.replacement, 1)
			_, err := Parse("s.ini", []byte(text))
			NewWithT(t).Expect(err).To(MatchError(ContainSubstring(c.want)))
		})
	}
}

func FuzzSettings(f *testing.F) {
	f.Add([]byte(markdownExample))
	f.Add([]byte("[host]\nname = a.b\n[host.a]\ndomain = %(name)s"))
	f.Add([]byte("[peer]\nseeds = 10.0.0.1:1, [::1]:2\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		entry, err := Parse("fuzz.ini", data)
		if err != nil {
			var problems inifile.Problems
			if !errors.As(err, &problems) || len(problems) == 0 {
				t.Fatalf("not a list of problems: %v", err)
			}
			return
		}
		if entry.Host == "" || entry.PeerSecret == "" || !inifile.ValidAddress(entry.PeerListen) || entry.DrainGrace <= 0 {
			t.Fatalf("accepted: %+v", entry)
		}
	})
}
