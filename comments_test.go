package brooklb

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

// TestComments requires a doc comment on every package and on every exported function, method
// of an exported type, type, constant and variable. A comment on a group covers its members.
func TestComments(t *testing.T) {
	packages := map[string]bool{} // by directory: whether a file has a package comment
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		files := token.NewFileSet()
		f, err := parser.ParseFile(files, path, nil, parser.ParseComments)
		if err != nil {
			return err
		}
		packages[filepath.Dir(path)] = packages[filepath.Dir(path)] || f.Doc != nil
		for _, name := range uncommented(f) {
			t.Errorf("%s: %s has no comment", path, name)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	for dir, ok := range packages {
		if !ok {
			t.Errorf("package in %s has no comment", dir)
		}
	}
	if len(packages) < 20 {
		t.Errorf("only %d packages were checked", len(packages))
	}
}

// uncommented lists a file's exported items that have no doc comment.
func uncommented(f *ast.File) (names []string) {
	for _, decl := range f.Decls {
		switch d := decl.(type) {
		case *ast.FuncDecl:
			if d.Doc == nil && d.Name.IsExported() && receiverExported(d) && !ofInterface(d.Name.Name) {
				names = append(names, d.Name.Name)
			}
		case *ast.GenDecl:
			if d.Doc == nil {
				names = append(names, uncommentedSpecs(d)...)
			}
		}
	}
	return names
}

// uncommentedSpecs is uncommented for the items of one declaration.
func uncommentedSpecs(d *ast.GenDecl) (names []string) {
	for _, spec := range d.Specs {
		switch s := spec.(type) {
		case *ast.TypeSpec:
			if s.Doc == nil && s.Name.IsExported() {
				names = append(names, s.Name.Name)
			}
		case *ast.ValueSpec:
			for _, n := range s.Names {
				if s.Doc == nil && s.Comment == nil && n.IsExported() {
					names = append(names, n.Name)
				}
			}
		}
	}
	return names
}

// ofInterface reports whether name is a method of a standard library interface, which
// documents it.
func ofInterface(name string) bool {
	switch name {
	case "Len", "Less", "Swap", "Push", "Pop", "String", "Error", "Unwrap", "Write", "Read", "Accept", "Close":
		return true
	}
	return false
}

// receiverExported reports whether a function has no receiver or one of an exported type.
func receiverExported(d *ast.FuncDecl) bool {
	if d.Recv == nil {
		return true
	}
	expr := d.Recv.List[0].Type
	if star, ok := expr.(*ast.StarExpr); ok {
		expr = star.X
	}
	if generic, ok := expr.(*ast.IndexExpr); ok {
		expr = generic.X
	}
	name, ok := expr.(*ast.Ident)
	return ok && name.IsExported()
}

// TestUncommented shows that TestComments can fail.
func TestUncommented(t *testing.T) {
	file := filepath.Join(t.TempDir(), "x.go")
	source := "package x\n\nfunc F() {}\n\ntype T struct{}\n\nfunc (t *T) M() {}\n\nconst C = 1\n\n// G is fine.\nfunc G() {}\n\nfunc (t *T) Len() int { return 0 }\n"
	if err := os.WriteFile(file, []byte(source), 0o600); err != nil {
		t.Fatal(err)
	}
	f, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ParseComments)
	if err != nil {
		t.Fatal(err)
	}
	if got := strings.Join(uncommented(f), " "); got != "F T M C" {
		t.Errorf("found %q", got)
	}
}
