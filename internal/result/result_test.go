package result

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"testing"
)

// TestTableOrder checks that codes are listed once, in numeric order.
func TestTableOrder(t *testing.T) {
	for i := 1; i < len(Table); i++ {
		if Table[i-1].Code >= Table[i].Code {
			t.Errorf("%s stands before %s", Table[i-1].Name, Table[i].Name)
		}
	}
}

// TestPage holds docs/RESULT-CODES.md to Table.
func TestPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/RESULT-CODES.md")
	if err != nil {
		t.Fatal(err)
	}
	if string(page) != Markdown() {
		t.Error("docs/RESULT-CODES.md is not up to date; run go generate ./...")
	}
}

// TestEveryCodeListed checks that each constant of type Code stands in Table,
// under a number and name of its own.
func TestEveryCodeListed(t *testing.T) {
	file, err := parser.ParseFile(token.NewFileSet(), "result.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	constants := 0
	ast.Inspect(file, func(node ast.Node) bool {
		if spec, ok := node.(*ast.ValueSpec); ok {
			if name, ok := spec.Type.(*ast.Ident); ok && name.Name == "Code" {
				constants++
			}
		}
		return true
	})
	if constants != len(Table) {
		t.Errorf("%d constants, %d lines of Table", constants, len(Table))
	}
	names := map[string]bool{}
	for _, info := range Table {
		if names[info.Name] {
			t.Errorf("name %s stands twice", info.Name)
		}
		names[info.Name] = true
	}
}
