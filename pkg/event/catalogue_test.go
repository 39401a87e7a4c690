package event

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"strings"
	"testing"
)

// Guards against an event that is missing from docs/events.md, and against a page that
// describes an event that no longer exists.
func TestCatalogueMatchesPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/events.md")
	if err != nil {
		t.Fatal(err)
	}
	rows := 0
	for _, line := range strings.Split(string(page), "\n") {
		if strings.HasPrefix(line, "| 1") || strings.HasPrefix(line, "| 2") || strings.HasPrefix(line, "| 3") ||
			strings.HasPrefix(line, "| 4") || strings.HasPrefix(line, "| 5") || strings.HasPrefix(line, "| 6") || strings.HasPrefix(line, "| 7") {
			rows++
		}
	}
	seen := map[int]bool{}
	for _, e := range Catalogue() {
		if seen[e.Number] {
			t.Errorf("event number %d is used twice", e.Number)
		}
		seen[e.Number] = true
		if !strings.Contains(string(page), fmt.Sprintf("| %d | %s |", e.Number, e.Message)) {
			t.Errorf("docs/events.md has no row for event %d %q", e.Number, e.Message)
		}
	}
	if rows != len(seen) {
		t.Errorf("docs/events.md has %d rows, the catalogue has %d events", rows, len(seen))
	}
}

// Guards against an event that is declared but missing from Catalogue.
func TestCatalogueIsComplete(t *testing.T) {
	file, err := parser.ParseFile(token.NewFileSet(), "catalogue.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	declared := 0
	ast.Inspect(file, func(n ast.Node) bool {
		if lit, ok := n.(*ast.CompositeLit); ok {
			if id, ok := lit.Type.(*ast.Ident); ok && id.Name == "Event" {
				declared++
			}
		}
		return true
	})
	if got := len(Catalogue()); got != declared {
		t.Errorf("Catalogue lists %d events, %d are declared", got, declared)
	}
}
