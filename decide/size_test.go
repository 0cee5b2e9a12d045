package decide

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// What a reader at night has to take in at once stays small: each file, each function and each line. Nothing
// limits the sum: such a limit makes people cram. A tab counts as four.
func TestFilesAndFunctionsStaySmall(t *testing.T) {
	const maxFileLines, maxFunctionLines, maxWidth = 300, 50, 110
	files := sourceFiles(t)
	for _, name := range files {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		lines := strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
		if len(lines) > maxFileLines {
			t.Errorf("%s: %d lines, %d at most", name, len(lines), maxFileLines)
		}
		for i, line := range lines {
			if width := len([]rune(strings.ReplaceAll(line, "\t", "    "))); width > maxWidth {
				t.Errorf("%s:%d: a line is %d wide, %d at most", name, i+1, width, maxWidth)
			}
		}
		positions := token.NewFileSet()
		file, err := parser.ParseFile(positions, name, text, 0)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(file, func(node ast.Node) bool {
			switch node.(type) {
			case *ast.FuncDecl, *ast.FuncLit:
				first, last := positions.Position(node.Pos()), positions.Position(node.End())
				if n := last.Line - first.Line + 1; n > maxFunctionLines {
					t.Errorf("%s: a function of %d lines, %d at most", first, n, maxFunctionLines)
				}
			}
			return true
		})
	}
}

// The map of files in doc.go is complete: a newcomer looks there first.
func TestFilesAreOnTheMap(t *testing.T) {
	doc, err := os.ReadFile("doc.go")
	if err != nil {
		t.Fatal(err)
	}
	var mapped []string
	for line := range strings.Lines(string(doc)) {
		if name, _, _ := strings.Cut(strings.TrimPrefix(line, "//\t"), " "); strings.HasSuffix(name, ".go") {
			mapped = append(mapped, name)
		}
	}
	files := slices.DeleteFunc(sourceFiles(t), func(name string) bool { return name == "doc.go" })
	slices.Sort(mapped)
	if !slices.Equal(files, mapped) {
		t.Errorf("files %v, in doc.go %v", files, mapped)
	}
}

// sourceFiles returns the names of the module's files without tests, sorted.
func sourceFiles(t *testing.T) []string {
	t.Helper()
	names, err := fs.Glob(os.DirFS("."), "*.go")
	if err != nil {
		t.Fatal(err)
	}
	names = slices.DeleteFunc(names, func(name string) bool { return strings.HasSuffix(name, "_test.go") })
	if len(names) < 10 {
		t.Fatalf("only %d files found: %v", len(names), names)
	}
	for i := range names {
		names[i] = filepath.Base(names[i])
	}
	slices.Sort(names)
	return names
}
