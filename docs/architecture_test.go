// Package docs_test checks the pages against the code.
package docs_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const root = ".."

var (
	codeSpan      = regexp.MustCompile("`([^`\n]+)`")
	filePath      = regexp.MustCompile(`^[\w./-]+\.(go|md|toml|txt|sexp|json)$`)
	folderPath    = regexp.MustCompile(`^[\w.-]+(/[\w.-]+)*/$`)
	qualifiedName = regexp.MustCompile(`^([a-z][\w/]*)\.([A-Za-z]\w*)(?:\.([A-Za-z]\w*))?(?:\(\))?$`)
)

// TestArchitecturePageNamesOnlyWhatExists checks each code span of the architecture page that is a path or the name of a declaration
// (package.Name or package.Type.Member).
func TestArchitecturePageNamesOnlyWhatExists(t *testing.T) {
	page, err := os.ReadFile("architecture.md")
	require.NoError(t, err)
	packages := packageFolders(t)
	checked := 0
	for _, match := range codeSpan.FindAllStringSubmatch(string(page), -1) {
		span := match[1]
		switch name := qualifiedName.FindStringSubmatch(span); {
		case filePath.MatchString(span), folderPath.MatchString(span):
			assert.True(t, exists(span), "%s is not there", span)
		case name != nil:
			folders := packages[name[1]]
			if assert.NotEmpty(t, folders, "%s: no package of that name", span) {
				assert.True(t, declaredInAny(t, folders, name[2], name[3]), "%s is not declared", span)
			}
		default:
			continue
		}
		checked++
	}
	require.Greater(t, checked, 50, "names on the page that are paths or declarations")
}

// exists tells whether a path stands in the repository or beside the page.
func exists(path string) bool {
	_, inRoot := os.Stat(filepath.Join(root, path))
	_, besidePage := os.Stat(path)
	return inRoot == nil || besidePage == nil
}

// packageFolders maps a package's path, and its last element, to the folders that have it.
func packageFolders(t *testing.T) map[string][]string {
	t.Helper()
	folders := map[string][]string{}
	require.NoError(t, filepath.WalkDir(root, func(path string, entry os.DirEntry, err error) error {
		if err != nil || !entry.IsDir() {
			return err
		}
		if entry.Name() == "journal" || strings.HasPrefix(entry.Name(), ".") && path != root {
			return filepath.SkipDir
		}
		sources, err := filepath.Glob(filepath.Join(path, "*.go"))
		if len(sources) == 0 {
			return err
		}
		name := filepath.ToSlash(strings.TrimPrefix(path, root+string(filepath.Separator)))
		folders[name] = append(folders[name], path)
		if last := filepath.Base(path); last != name {
			folders[last] = append(folders[last], path)
		}
		return nil
	}))
	return folders
}

func declaredInAny(t *testing.T, folders []string, name, member string) bool {
	t.Helper()
	for _, folder := range folders {
		if declared(t, folder, name, member) {
			return true
		}
	}
	return false
}

// declared tells whether the package in a folder declares name and, where member is not empty, a method or field of it.
func declared(t *testing.T, folder, name, member string) bool {
	t.Helper()
	sources, err := filepath.Glob(filepath.Join(folder, "*.go"))
	require.NoError(t, err)
	for _, source := range sources {
		file, err := parser.ParseFile(token.NewFileSet(), source, nil, parser.SkipObjectResolution)
		require.NoError(t, err)
		for _, declaration := range file.Decls {
			if declares(declaration, name, member) {
				return true
			}
		}
	}
	return false
}

func declares(declaration ast.Decl, name, member string) bool {
	switch d := declaration.(type) {
	case *ast.FuncDecl:
		if member == "" {
			return d.Recv == nil && d.Name.Name == name
		}
		return d.Recv != nil && d.Name.Name == member && receiver(d) == name
	case *ast.GenDecl:
		for _, spec := range d.Specs {
			switch s := spec.(type) {
			case *ast.TypeSpec:
				if s.Name.Name == name && (member == "" || hasMember(s.Type, member)) {
					return true
				}
			case *ast.ValueSpec:
				for _, id := range s.Names {
					if id.Name == name && member == "" {
						return true
					}
				}
			}
		}
	}
	return false
}

func receiver(d *ast.FuncDecl) string {
	typ := d.Recv.List[0].Type
	for {
		switch x := typ.(type) {
		case *ast.StarExpr:
			typ = x.X
		case *ast.IndexExpr:
			typ = x.X
		case *ast.Ident:
			return x.Name
		default:
			return ""
		}
	}
}

func hasMember(typ ast.Expr, member string) bool {
	var fields *ast.FieldList
	switch x := typ.(type) {
	case *ast.StructType:
		fields = x.Fields
	case *ast.InterfaceType:
		fields = x.Methods
	default:
		return false
	}
	for _, field := range fields.List {
		for _, id := range field.Names {
			if id.Name == member {
				return true
			}
		}
	}
	return false
}
