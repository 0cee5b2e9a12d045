package doccheck

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

const repositoryRoot = "../../.."

var (
	codeSpan        = regexp.MustCompile("`[^`\n]+`")
	qualifiedName   = regexp.MustCompile(`\b([a-z][a-z0-9]*)\.([A-Z]\w*)(?:\.(\w+))?`)
	memberReference = regexp.MustCompile(`(?:^|[^.\w-])([A-Z]\w*)\.([A-Za-z]\w*)`)
	testName        = regexp.MustCompile(`\b(?:Test|Fuzz|Benchmark)[A-Z]\w*`)
	repositoryPath  = regexp.MustCompile(`\b(?:internal|decide|cmd|docs|deploy|examples|plugin)/[\w./-]*\w`)
	fileExtension   = regexp.MustCompile(`^(md|txt|toml|json|go|sh|log|svg)$`)
)

// declarations are the names that the code of the repository declares.
type declarations struct {
	packages map[string]map[string]bool // package-level names by package
	members  map[string]map[string]bool // fields and methods by type, whatever its package
	imported map[string]bool            // names of packages of other modules and of the standard library
	tests    map[string]bool            // tests, fuzz tests and benchmarks
}

// TestPagesNameWhatTheCodeDeclares guards against pages that go on naming packages, types and files that are
// gone.
func TestPagesNameWhatTheCodeDeclares(t *testing.T) {
	declared := readDeclarations(t)
	pages, err := filepath.Glob(filepath.Join(repositoryRoot, "docs", "*.md"))
	if err != nil {
		t.Fatal(err)
	}
	nested, err := filepath.Glob(filepath.Join(repositoryRoot, "docs", "*", "*.md"))
	if err != nil {
		t.Fatal(err)
	}
	pages = append(append(pages, nested...), filepath.Join(repositoryRoot, "README.md"))
	if len(pages) < 20 {
		t.Fatalf("only %d pages found under docs/", len(pages))
	}
	for _, page := range pages {
		name, err := filepath.Rel(repositoryRoot, page)
		if err != nil {
			t.Fatal(err)
		}
		t.Run(name, func(t *testing.T) { checkPage(t, declared, page) })
	}
}

func checkPage(t *testing.T, declared declarations, page string) {
	t.Helper()
	text, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	for i, line := range strings.Split(string(text), "\n") {
		if strings.HasPrefix(line, "    ") { // an example of a command or of code
			continue
		}
		for _, problem := range declared.problems(line) {
			t.Errorf("line %d: %s", i+1, problem)
		}
	}
}

// problems says what a line of a page names that the code does not have.
func (d declarations) problems(line string) (found []string) {
	for _, match := range qualifiedName.FindAllStringSubmatch(line, -1) {
		names, ours := d.packages[match[1]]
		switch {
		case !ours && d.imported[match[1]]:
		case !ours:
			found = append(found, match[0]+": no such package")
		case !names[match[2]]:
			found = append(found, match[0]+": not declared in that package")
		case match[3] != "" && !d.members[match[2]][match[3]]:
			found = append(found, match[0]+": that type has no such member")
		}
	}
	for _, name := range testName.FindAllString(line, -1) {
		if !d.tests[name] {
			found = append(found, name+": no such test")
		}
	}
	for _, span := range codeSpan.FindAllString(line, -1) {
		for _, match := range memberReference.FindAllStringSubmatch(span, -1) {
			if fileExtension.MatchString(match[2]) || d.imported[match[1]] {
				continue
			}
			if !d.members[match[1]][match[2]] {
				found = append(found, match[1]+"."+match[2]+": no such type or member")
			}
		}
	}
	for _, name := range repositoryPath.FindAllString(line, -1) {
		if _, err := os.Stat(filepath.Join(repositoryRoot, name)); err != nil {
			found = append(found, name+": no such file or folder")
		}
	}
	return found
}

func readDeclarations(t *testing.T) declarations {
	t.Helper()
	d := declarations{
		packages: map[string]map[string]bool{},
		members:  map[string]map[string]bool{},
		imported: map[string]bool{},
		tests:    map[string]bool{},
	}
	err := filepath.WalkDir(repositoryRoot, func(name string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && (entry.Name() == "journal" || entry.Name() == ".git") {
			return filepath.SkipDir
		}
		if !strings.HasSuffix(name, ".go") {
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		d.add(file)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func (d declarations) add(file *ast.File) {
	pkg := strings.TrimSuffix(file.Name.Name, "_test")
	if d.packages[pkg] == nil {
		d.packages[pkg] = map[string]bool{}
	}
	for _, spec := range file.Imports {
		imported, _ := strconv.Unquote(spec.Path.Value)
		if !strings.HasPrefix(imported, "capersail/") {
			d.imported[path.Base(imported)] = true
		}
	}
	for _, decl := range file.Decls {
		switch decl := decl.(type) {
		case *ast.FuncDecl:
			d.addFunc(pkg, decl)
		case *ast.GenDecl:
			for _, spec := range decl.Specs {
				d.addSpec(pkg, spec)
			}
		}
	}
}

func (d declarations) addFunc(pkg string, decl *ast.FuncDecl) {
	if decl.Recv == nil {
		d.tests[decl.Name.Name] = testName.MatchString(decl.Name.Name)
		d.packages[pkg][decl.Name.Name] = true
		return
	}
	receiver := decl.Recv.List[0].Type
	if star, ok := receiver.(*ast.StarExpr); ok {
		receiver = star.X
	}
	if index, ok := receiver.(*ast.IndexExpr); ok {
		receiver = index.X
	}
	if name, ok := receiver.(*ast.Ident); ok {
		d.addMember(name.Name, decl.Name.Name)
	}
}

func (d declarations) addSpec(pkg string, spec ast.Spec) {
	switch spec := spec.(type) {
	case *ast.ValueSpec:
		for _, name := range spec.Names {
			d.packages[pkg][name.Name] = true
		}
	case *ast.TypeSpec:
		d.packages[pkg][spec.Name.Name] = true
		var fields *ast.FieldList
		switch body := spec.Type.(type) {
		case *ast.StructType:
			fields = body.Fields
		case *ast.InterfaceType:
			fields = body.Methods
		default:
			return
		}
		for _, field := range fields.List {
			for _, name := range field.Names {
				d.addMember(spec.Name.Name, name.Name)
			}
		}
	}
}

func (d declarations) addMember(typeName, member string) {
	if d.members[typeName] == nil {
		d.members[typeName] = map[string]bool{}
	}
	d.members[typeName][member] = true
}
