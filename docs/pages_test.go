package docs_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// pagesOfTests name tests, files and declarations, and are kept in step with the tree.
var pagesOfTests = []string{"endings.md", "terms-audit.md", "migration.md", "assumptions.md", "ROADMAP.md"}

var (
	testName     = regexp.MustCompile(`^(?:Test|Benchmark|Fuzz)[A-Z.]`)
	pathInTree   = regexp.MustCompile(`^[\w.-]+(/[\w.-]+)+/?$`)
	otherPackage = regexp.MustCompile(`^net\.`) // names of the standard library on these pages
)

// TestPagesNameOnlyWhatExists checks each code span of these pages that is the name of a test or a subtest, a path, or the name of
// a declaration (package.Name or package.Type.Member).
func TestPagesNameOnlyWhatExists(t *testing.T) {
	tests, packages := testsInTree(t), packageFolders(t)
	for _, page := range pagesOfTests {
		t.Run(page, func(t *testing.T) {
			text, err := os.ReadFile(page)
			require.NoError(t, err)
			for _, match := range codeSpan.FindAllStringSubmatch(string(text), -1) {
				span := match[1]
				name := qualifiedName.FindStringSubmatch(span)
				switch {
				case testName.MatchString(span):
					tests.check(t, span)
				case filePath.MatchString(span), folderPath.MatchString(span), name == nil && pathInTree.MatchString(span):
					assert.True(t, exists(span), "%s is not there", span)
				case name != nil && !exists(span) && !otherPackage.MatchString(span):
					folders := packages[name[1]]
					if assert.NotEmpty(t, folders, "%s: no package of that name", span) {
						assert.True(t, declaredInAny(t, folders, name[2], name[3]), "%s is not declared", span)
					}
				}
			}
		})
	}
}

// records stay as they were written, with the names of their day.
var records = map[string]bool{"results.md": true, "brink.md": true}

// TestEveryPageNamesTestsThatExist checks the names of tests in the code spans of all pages but the records.
func TestEveryPageNamesTestsThatExist(t *testing.T) {
	tests := testsInTree(t)
	var pages []string
	for _, pattern := range []string{"*.md", "operate/*.md", "capacity/*.md"} {
		found, err := filepath.Glob(pattern)
		require.NoError(t, err)
		pages = append(pages, found...)
	}
	checked := 0
	for _, page := range pages {
		if records[page] {
			continue
		}
		text, err := os.ReadFile(page)
		require.NoError(t, err)
		for _, match := range codeSpan.FindAllStringSubmatch(string(text), -1) {
			if testName.MatchString(match[1]) {
				tests.check(t, match[1])
				checked++
			}
		}
	}
	require.Greater(t, checked, 250, "names of tests found")
}

// testFunctions are the tests, benchmarks and fuzz targets in the tree, and the string literals in their files, which have the names
// of subtests.
type testFunctions struct{ names, literals map[string]bool }

func testsInTree(t *testing.T) testFunctions {
	t.Helper()
	found := testFunctions{names: map[string]bool{}, literals: map[string]bool{}}
	eachGoFile(t, root, func(path string, file *ast.File) {
		if !strings.HasSuffix(path, "_test.go") {
			return
		}
		ast.Inspect(file, func(n ast.Node) bool {
			switch x := n.(type) {
			case *ast.FuncDecl:
				if x.Recv == nil && testName.MatchString(x.Name.Name) {
					found.names[x.Name.Name] = true
				}
			case *ast.BasicLit:
				if text, err := strconv.Unquote(x.Value); err == nil && x.Kind == token.STRING {
					found.literals[text] = true
				}
			}
			return true
		})
	})
	require.Greater(t, len(found.names), 400, "tests in the tree")
	return found
}

// check checks a name as a page has it: with subtests behind slashes, or with "..." for what is left out of it.
func (f testFunctions) check(t *testing.T, span string) {
	t.Helper()
	parts := strings.Split(span, "/")
	assert.True(t, f.has(parts[0]), "%s is no test", parts[0])
	for _, subtest := range parts[1:] {
		assert.True(t, f.literals[subtest] || f.literals[strings.ReplaceAll(subtest, "_", " ")], "%s: no such subtest", span)
	}
}

func (f testFunctions) has(name string) bool {
	if f.names[name] || !strings.Contains(name, "...") {
		return f.names[name]
	}
	pattern := regexp.MustCompile("^" + strings.ReplaceAll(regexp.QuoteMeta(name), `\.\.\.`, ".*") + "$")
	for known := range f.names {
		if pattern.MatchString(known) {
			return true
		}
	}
	return false
}

// servicePackages run in service; their log messages are for the operators.
var servicePackages = []string{"cmd/dapplerouter", "server", "upstream", "discovery", "front", "gateway", "gateway/link", "fleet",
	"fleet/agent", "fleet/mesh", "fleet/disk", "fleet/rollout", "fleet/audit", "framing", "adminapi", "deployment", "config", "router"}

// TestLogMessagesAreOnTheOperatorsPages checks that each constant message that is logged as Info or above in service stands, whole, in
// a code span of the pages for operators.
func TestLogMessagesAreOnTheOperatorsPages(t *testing.T) {
	pages, err := filepath.Glob("operate/*.md")
	require.NoError(t, err)
	documented := map[string]bool{}
	for _, page := range append(pages, "oncall.md") {
		text, err := os.ReadFile(page)
		require.NoError(t, err)
		for _, match := range codeSpan.FindAllStringSubmatch(string(text), -1) {
			documented[match[1]] = true
		}
	}
	checked := 0
	for _, folder := range servicePackages {
		eachGoFile(t, filepath.Join(root, folder), func(path string, file *ast.File) {
			if strings.HasSuffix(path, "_test.go") || filepath.Dir(path) != filepath.Join(root, folder) {
				return
			}
			for _, message := range logMessages(file) {
				assert.True(t, documented[message], "%s: %q is on no page for operators", path, message)
				checked++
			}
		})
	}
	require.Greater(t, checked, 60, "log messages found")
}

// logMessages returns the constant messages of the calls of slog.Info, Warn and Error in a file, and of their forms with a context.
func logMessages(file *ast.File) (messages []string) {
	ast.Inspect(file, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok {
			return true
		}
		function, ok := call.Fun.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		if from, ok := function.X.(*ast.Ident); !ok || from.Name != "slog" {
			return true
		}
		argument := 0
		switch function.Sel.Name {
		case "Info", "Warn", "Error":
		case "InfoContext", "WarnContext", "ErrorContext":
			argument = 1
		default:
			return true
		}
		if message, ok := constantText(call.Args[argument]); ok {
			messages = append(messages, message)
		}
		return true
	})
	return messages
}

// constantText returns the text of a string literal, or of literals that are joined.
func constantText(x ast.Expr) (text string, ok bool) {
	switch x := x.(type) {
	case *ast.BasicLit:
		text, err := strconv.Unquote(x.Value)
		return text, err == nil && x.Kind == token.STRING
	case *ast.BinaryExpr:
		left, constantLeft := constantText(x.X)
		right, constantRight := constantText(x.Y)
		return left + right, constantLeft && constantRight && x.Op == token.ADD
	case *ast.ParenExpr:
		return constantText(x.X)
	}
	return "", false
}

// eachGoFile parses the Go files below a folder, but for hidden folders and the journal.
func eachGoFile(t *testing.T, folder string, call func(path string, file *ast.File)) {
	t.Helper()
	require.NoError(t, filepath.WalkDir(folder, func(path string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && path != folder && (entry.Name() == "journal" || strings.HasPrefix(entry.Name(), ".")):
			return filepath.SkipDir
		case entry.IsDir() || filepath.Ext(path) != ".go":
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err == nil {
			call(path, file)
		}
		return err
	}))
}
