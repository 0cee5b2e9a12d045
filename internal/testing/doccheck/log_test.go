package doccheck

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const logPage = "docs/operate/log.md"

// logRow begins a row of the page: the message, its level and its package.
var logRow = regexp.MustCompile("^\\| `([^`]+)` \\| (\\w+) \\| `([^`]+)` \\| ([^|]+) \\| ([^|]+) \\|$")

// loggedLevels are the calls that begin a line which the page must have.
var loggedLevels = map[string]string{"Warn": "warn", "Error": "error", "Fatal": "fatal", "Panic": "panic"}

// logLine is one line that the program may write.
type logLine struct{ message, level, pkg string }

// TestLogPageHasEveryWarningAndError guards against a line that wakes an engineer and that no page explains.
func TestLogPageHasEveryWarningAndError(t *testing.T) {
	documented := readLogPage(t)
	written := readLogLines(t)
	if len(written) < 20 {
		t.Fatalf("only %d lines at warn and error found in the code", len(written))
	}
	for line, position := range written {
		if !documented[line] {
			t.Errorf("%s: %s line %q of %s: not in %s", position, line.level, line.message, line.pkg, logPage)
		}
	}
	for line := range documented {
		if _, found := written[line]; !found {
			t.Errorf("%s: %s line %q of %s: not in the code", logPage, line.level, line.message, line.pkg)
		}
	}
}

// TestLogPageIsSorted guards against rows that a reader cannot find by the message.
func TestLogPageIsSorted(t *testing.T) {
	var messages []string
	for _, row := range logPageRows(t) {
		messages = append(messages, row[1])
	}
	if !slices.IsSorted(messages) {
		t.Errorf("the rows of %s are not sorted by message", logPage)
	}
}

// TestLogLinesAreFoundInAnyForm guards against a form of log call that the check above passes over.
func TestLogLinesAreFoundInAnyForm(t *testing.T) {
	const source = `package p
const text = "by " + "constant"
func f() {
	log.Warn().Err(err).Msg("chained")
	log.Error().
		Str("a", b.Error()).
		Msg(text)
	event := log.Info()
	if bad {
		event = log.Warn()
	}
	event.Str("c", "d").Msg("by variable")
	message := "by one"
	if bad {
		message = "or another"
	}
	log.Warn().Msg(message)
	log.Error().Msgf("formatted %d", 1)
	log.Warn().Send()
	log.Error().Msg(unknown())
	log.Info().Str("e", err.Error()).Msg("info only")
	log.Info().Msg(err.Error())
	log.WithLevel(level).Msg("level unknown")
}`
	fset := token.NewFileSet()
	file, err := parser.ParseFile(fset, "p.go", source, parser.SkipObjectResolution)
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, found := range logCalls(file, stringConstants([]*ast.File{file})) {
		got = append(got, found.level+": "+found.message)
	}
	want := []string{
		"warn: chained", "error: by constant", "warn: by variable", "warn: by one", "warn: or another",
		"error: formatted %d", "warn: (no constant text)", "error: (no constant text)",
		"unknown: level unknown",
	}
	if !slices.Equal(got, want) {
		t.Errorf("found %q, want %q", got, want)
	}
}

// logPageRows are the rows of the page's table, matched by logRow.
func logPageRows(t *testing.T) (rows [][]string) {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(repositoryRoot, logPage))
	if err != nil {
		t.Fatal(err)
	}
	for i, line := range strings.Split(string(text), "\n") {
		if !strings.HasPrefix(line, "| `") {
			continue
		}
		row := logRow.FindStringSubmatch(line)
		if row == nil {
			t.Errorf("%s:%d: not a row of message, level, package, what happened, what to do", logPage, i+1)
			continue
		}
		rows = append(rows, row)
	}
	return rows
}

func readLogPage(t *testing.T) map[logLine]bool {
	t.Helper()
	lines := map[logLine]bool{}
	for _, row := range logPageRows(t) {
		lines[logLine{message: row[1], level: row[2], pkg: row[3]}] = true
	}
	return lines
}

// readLogLines finds the lines at warn and error of the product, each with the place of one of its calls.
func readLogLines(t *testing.T) map[logLine]string {
	t.Helper()
	fset := token.NewFileSet()
	files := map[string][]*ast.File{} // by package's folder
	err := filepath.WalkDir(repositoryRoot, func(name string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		relative, err := filepath.Rel(repositoryRoot, name)
		if err != nil {
			return err
		}
		if entry.IsDir() {
			skipped := []string{"internal/testing", "internal/simulation", "journal", ".git"}
			if slices.Contains(skipped, relative) {
				return filepath.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
			return nil
		}
		file, err := parser.ParseFile(fset, name, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		folder := filepath.Dir(relative)
		files[folder] = append(files[folder], file)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	lines := map[logLine]string{}
	for folder, parsed := range files {
		constants := stringConstants(parsed)
		for _, file := range parsed {
			for _, found := range logCalls(file, constants) {
				lines[logLine{found.message, found.level, folder}] = fset.Position(found.at).String()
			}
		}
	}
	return lines
}

// logCall is a call that writes a line at warn or error.
type logCall struct {
	message, level string
	at             token.Pos
}

// logCalls finds a file's calls that write a line at warn or above.
func logCalls(file *ast.File, constants map[string]string) (found []logCall) {
	for _, decl := range file.Decls {
		function, ok := decl.(*ast.FuncDecl)
		if !ok || function.Body == nil {
			continue
		}
		assigned := assignments(function.Body)
		ast.Inspect(function.Body, func(node ast.Node) bool {
			call, ok := node.(*ast.CallExpr)
			if !ok {
				return true
			}
			method, ok := call.Fun.(*ast.SelectorExpr)
			if !ok || !slices.Contains([]string{"Msg", "Msgf", "MsgFunc", "Send"}, method.Sel.Name) {
				return true
			}
			level := chainLevel(method.X, assigned)
			if level == "" {
				return true
			}
			for _, message := range messageTexts(call, assigned, constants) {
				found = append(found, logCall{message, level, call.Pos()})
			}
			return true
		})
	}
	return found
}

// assignments are the values that a function's variables are given, by name.
func assignments(body *ast.BlockStmt) map[string][]ast.Expr {
	assigned := map[string][]ast.Expr{}
	ast.Inspect(body, func(node ast.Node) bool {
		assign, ok := node.(*ast.AssignStmt)
		if !ok || len(assign.Lhs) != len(assign.Rhs) {
			return true
		}
		for i, left := range assign.Lhs {
			if name, ok := left.(*ast.Ident); ok {
				assigned[name.Name] = append(assigned[name.Name], assign.Rhs[i])
			}
		}
		return true
	})
	return assigned
}

// chainLevel is the level of the event that a chain of calls began with, "" if that is below warn. A variable
// has the highest level of the values that it is given.
func chainLevel(chain ast.Expr, assigned map[string][]ast.Expr) string {
	for {
		switch link := chain.(type) {
		case *ast.CallExpr:
			method, ok := link.Fun.(*ast.SelectorExpr)
			if !ok {
				return ""
			}
			if level := loggedLevels[method.Sel.Name]; level != "" && len(link.Args) == 0 {
				return level
			}
			if method.Sel.Name == "WithLevel" {
				return "unknown"
			}
			chain = method.X
		case *ast.Ident:
			values := assigned[link.Name]
			rest := withoutName(assigned, link.Name) // event = event.Str(...) leads back here
			for _, value := range values {
				if level := chainLevel(value, rest); level != "" {
					return level
				}
			}
			return ""
		default:
			return ""
		}
	}
}

func withoutName(assigned map[string][]ast.Expr, name string) map[string][]ast.Expr {
	rest := map[string][]ast.Expr{}
	for other, values := range assigned {
		if other != name {
			rest[other] = values
		}
	}
	return rest
}

// messageTexts are the texts that a call may write.
func messageTexts(call *ast.CallExpr, assigned map[string][]ast.Expr, constants map[string]string) []string {
	unknown := []string{"(no constant text)"}
	if len(call.Args) == 0 {
		return unknown
	}
	if text, ok := constantText(call.Args[0], constants); ok {
		return []string{text}
	}
	name, ok := call.Args[0].(*ast.Ident)
	if !ok || len(assigned[name.Name]) == 0 {
		return unknown
	}
	var texts []string
	for _, value := range assigned[name.Name] {
		text, ok := constantText(value, constants)
		if !ok {
			return unknown
		}
		texts = append(texts, text)
	}
	return texts
}

// constantText is the value of a literal, of a constant of the package, or of a sum of these.
func constantText(expr ast.Expr, constants map[string]string) (string, bool) {
	switch expr := expr.(type) {
	case *ast.BasicLit:
		text, err := strconv.Unquote(expr.Value)
		return text, err == nil && expr.Kind == token.STRING
	case *ast.Ident:
		text, ok := constants[expr.Name]
		return text, ok
	case *ast.BinaryExpr:
		left, leftOK := constantText(expr.X, constants)
		right, rightOK := constantText(expr.Y, constants)
		return left + right, leftOK && rightOK && expr.Op == token.ADD
	}
	return "", false
}

// stringConstants are the string constants that a package's files declare on top.
func stringConstants(files []*ast.File) map[string]string {
	constants := map[string]string{}
	for _, file := range files {
		for _, decl := range file.Decls {
			group, ok := decl.(*ast.GenDecl)
			if !ok || group.Tok != token.CONST {
				continue
			}
			for _, spec := range group.Specs {
				values := spec.(*ast.ValueSpec)
				for i, name := range values.Names {
					if i >= len(values.Values) {
						break
					}
					if text, ok := constantText(values.Values[i], constants); ok {
						constants[name.Name] = text
					}
				}
			}
		}
	}
	return constants
}
