package main

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// virtualPrefix begins the names of the tests in virtual time, which CI runs by themselves.
const virtualPrefix = "TestVirtual"

// TestNamesInVirtualTime guards against tests in virtual time that run beside others with the race
// detector, which crashes in them on more than one processor: their names begin with TestVirtual,
// and no others do.
func TestNamesInVirtualTime(t *testing.T) {
	packages := map[string]functions{}
	err := filepath.WalkDir("../..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		folder := filepath.Dir(path)
		if packages[folder] == nil {
			packages[folder] = functions{}
		}
		return packages[folder].add(path)
	})
	if err != nil {
		t.Fatal(err)
	}
	found := 0
	for folder, p := range packages {
		for name := range p {
			if !strings.HasPrefix(name, "Test") || name == "TestMain" {
				continue
			}
			virtual := p.isVirtual(name, map[string]bool{})
			if virtual != strings.HasPrefix(name, virtualPrefix) {
				t.Errorf("%s.%s: in virtual time: %v", folder, name, virtual)
			}
			if virtual {
				found++
			}
		}
	}
	if found == 0 {
		t.Error("no test in virtual time was found")
	}
}

// functions holds the functions of a package's tests by name.
type functions map[string]*function

// function is what a function of a test uses.
type function struct {
	// synctest is true if it uses that package itself.
	synctest bool
	calls    []string
}

// add adds the functions of a file.
func (p functions) add(path string) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	file, err := parser.ParseFile(token.NewFileSet(), path, b, parser.SkipObjectResolution)
	if err != nil {
		return err
	}
	for _, d := range file.Decls {
		if f, ok := d.(*ast.FuncDecl); ok && f.Body != nil && f.Recv == nil {
			p[f.Name.Name] = usesOf(f)
		}
	}
	return nil
}

// usesOf returns what a function uses.
func usesOf(f *ast.FuncDecl) *function {
	x := &function{}
	ast.Inspect(f.Body, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.SelectorExpr:
			if i, ok := n.X.(*ast.Ident); ok && i.Name == "synctest" {
				x.synctest = true
			}
		case *ast.Ident:
			x.calls = append(x.calls, n.Name)
		}
		return true
	})
	return x
}

// isVirtual reports whether a function uses virtual time itself or by functions that it names.
func (p functions) isVirtual(name string, seen map[string]bool) bool {
	f := p[name]
	if f == nil || seen[name] {
		return false
	}
	seen[name] = true
	if f.synctest {
		return true
	}
	for _, n := range f.calls {
		if p.isVirtual(n, seen) {
			return true
		}
	}
	return false
}
