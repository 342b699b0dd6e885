package logs

import (
	"bytes"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
)

// TestPage holds docs/LOGS.md to the code.
func TestPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/LOGS.md")
	if err != nil {
		t.Fatal(err)
	}
	if string(page) != Markdown() {
		t.Error("docs/LOGS.md is not up to date; run go generate ./...")
	}
}

func TestOneLineAnEvent(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	log, err := New(&out, "info")
	g.Expect(err).NotTo(HaveOccurred())
	With(log, Refused).WithField("reason", "two\nlines").WithField("empty", "").WithError(errors.New("a \"quoted\" one")).Info()
	log.WithField("peer", "h2").Warn("link_down")
	With(log, Ready).Info("free text")
	With(log, Ready).Debug()
	lines := strings.Split(strings.TrimSuffix(out.String(), "\n"), "\n")
	g.Expect(lines).To(HaveLen(3))
	g.Expect(lines[0]).To(HavePrefix("time="))
	g.Expect(lines[0]).To(ContainSubstring(`level=info event=refused empty="" error="a \"quoted\" one" reason="two\nlines"`))
	g.Expect(lines[1]).To(ContainSubstring(`level=warning event=link_down peer=h2`))
	g.Expect(lines[2]).To(ContainSubstring(`event=ready detail="free text"`))
	_, err = New(&out, "loud")
	g.Expect(err).To(HaveOccurred())
}

// TestEventsListed finds the events that the program names by literals and
// checks that each stands in Table, and that Table has none twice.
func TestEventsListed(t *testing.T) {
	listed := map[string]bool{}
	for _, info := range Table {
		if listed[string(info.Event)] {
			t.Errorf("%s stands twice", info.Event)
		}
		listed[string(info.Event)] = true
	}
	err := filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(node ast.Node) bool {
			if name := eventLiteral(node); name != "" && !listed[name] {
				t.Errorf("%s: event %s isn't in Table", path, name)
			}
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

// eventLiteral returns the event that a node names: WithField("event", "x"),
// {"event": "x"} or {Event: "x"}; otherwise "".
func eventLiteral(node ast.Node) string {
	switch n := node.(type) {
	case *ast.CallExpr:
		if len(n.Args) == 2 && literal(n.Args[0]) == KeyEvent {
			return literal(n.Args[1])
		}
	case *ast.KeyValueExpr:
		key, ok := n.Key.(*ast.Ident)
		if literal(n.Key) == KeyEvent || ok && key.Name == "Event" {
			return literal(n.Value)
		}
	}
	return ""
}

// literal returns the value of a string literal; otherwise "".
func literal(expr ast.Expr) string {
	lit, ok := expr.(*ast.BasicLit)
	if !ok || lit.Kind != token.STRING {
		return ""
	}
	text, err := strconv.Unquote(lit.Value)
	if err != nil {
		return ""
	}
	return text
}
