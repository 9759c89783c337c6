package code_test

import (
	"flag"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"heatherford/core/code"
)

var update = flag.Bool("update", false, "rewrite the table in docs/CODES.md")

const docsPath = "../../docs/CODES.md"

const (
	tableBegin = "<!-- table: begin -->\n"
	tableEnd   = "<!-- table: end -->\n"
)

// constants returns the names of all constants of type Code.
func constants(c *qt.C) []string {
	f, err := parser.ParseFile(token.NewFileSet(), "code.go", nil, 0)
	c.Assert(err, qt.IsNil)
	names := []string{}
	ast.Inspect(f, func(n ast.Node) bool {
		v, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if t, ok := v.Type.(*ast.Ident); ok && t.Name == "Code" {
			names = append(names, v.Names[0].Name)
		}
		return true
	})
	return names
}

func TestTableHoldsEveryCode(t *testing.T) {
	c := qt.New(t)
	names := []string{}
	last := code.Code(0)
	for _, e := range code.Table() {
		c.Check(e.Code > last, qt.IsTrue, qt.Commentf("%s is out of order", e.Name))
		c.Check(e.Meaning, qt.Not(qt.Equals), "")
		c.Check(e.Remedy, qt.Not(qt.Equals), "")
		last = e.Code
		names = append(names, e.Name)
	}
	c.Assert(names, qt.ContentEquals, constants(c))
}

func TestDocsHoldTheTable(t *testing.T) {
	c := qt.New(t)
	b, err := os.ReadFile(docsPath)
	c.Assert(err, qt.IsNil)
	head, rest, ok := strings.Cut(string(b), tableBegin)
	c.Assert(ok, qt.IsTrue)
	table, tail, ok := strings.Cut(rest, tableEnd)
	c.Assert(ok, qt.IsTrue)
	if *update {
		const mode = 0o644
		text := head + tableBegin + code.Markdown() + tableEnd + tail
		c.Assert(os.WriteFile(docsPath, []byte(text), mode), qt.IsNil)
		return
	}
	c.Assert(table, qt.Equals, code.Markdown())
}
