// Command shapecheck enforces the layout and concurrency rules of docs/design.md section 3.
//
// It reports go statements outside module duty, mutexes outside module ring, calls of time.Sleep, errors without a
// type, ready-made reverse proxies, and I/O or clock reads in decision modules. Tests are not checked. It prints one
// line per violation and exits with 1 if there are any, and with 2 if the tree cannot be read.
package main

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// Exit codes.
const (
	exitClean      = 0
	exitViolations = 1
	exitError      = 2
)

// decisionModules lists the modules that only make decisions: they perform no I/O and get the time as an argument.
var decisionModules = []string{"admission", "catalog", "config", "dispatch", "keyspace", "ownership", "placement", "quota", "routing", "types"}

// forbiddenImports lists the packages, with their subpackages, that decision modules must not import because they
// perform I/O, write logs or use an implicit random source.
var forbiddenImports = []string{
	"net", "os", "io/fs", "io/ioutil", "log", "syscall", "math/rand", "crypto/rand",
	"github.com/apex/log", "github.com/VictoriaMetrics/metrics", "golang.org/x/sys",
}

// forbiddenCalls maps each function that only tests may use to the reason.
var forbiddenCalls = map[string]string{
	"time.Sleep":                         "waiting must park on a ring, timer or context",
	"errors.New":                         "every failure has a type: use types.Fault",
	"fmt.Errorf":                         "every failure has a type: use types.Fault",
	"httputil.NewSingleHostReverseProxy": "no ready-made proxy",
}

// clockFunctions holds the functions that read the clock, which decision modules must not use.
var clockFunctions = map[string]bool{
	"time.Now": true, "time.Since": true, "time.Until": true, "time.After": true,
	"time.Tick": true, "time.NewTimer": true, "time.NewTicker": true, "time.AfterFunc": true,
}

// checker parses the files of a tree and collects the violations.
type checker struct {
	fileSet    *token.FileSet
	violations []string
}

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: shapecheck ROOT")
		os.Exit(exitError)
	}
	c := &checker{fileSet: token.NewFileSet()}
	if err := c.checkTree(os.Args[1]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitError)
	}
	for _, v := range c.violations {
		fmt.Println(v)
	}
	if len(c.violations) > 0 {
		os.Exit(exitViolations)
	}
	os.Exit(exitClean)
}

// checkTree checks the Go files below root, except for tests and hidden folders.
func (c *checker) checkTree(root string) error {
	return filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && path != root && strings.HasPrefix(d.Name(), ".") {
			return filepath.SkipDir
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		rel, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		return c.checkFile(path, moduleOf(rel))
	})
}

// moduleOf returns the module that contains the file at rel, a path relative to the root: its first folder.
func moduleOf(rel string) string {
	first, _, _ := strings.Cut(filepath.ToSlash(rel), "/")
	return first
}

// checkFile checks one file of module. Module tools is exempt.
func (c *checker) checkFile(path, module string) error {
	if module == "tools" {
		return nil
	}
	f, err := parser.ParseFile(c.fileSet, path, nil, 0)
	if err != nil {
		return err
	}
	decision := slices.Contains(decisionModules, module)
	if decision {
		c.checkImports(f, path)
	}
	ast.Inspect(f, func(n ast.Node) bool {
		c.checkNode(n, module, decision)
		return true
	})
	return nil
}

// checkImports reports the forbidden imports of f, which belongs to a decision module.
func (c *checker) checkImports(f *ast.File, path string) {
	for _, spec := range f.Imports {
		name, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			continue
		}
		for _, forbidden := range forbiddenImports {
			if name == forbidden || strings.HasPrefix(name, forbidden+"/") {
				c.report(spec.Pos(), "decision module imports "+name)
			}
		}
	}
}

// checkNode checks one syntax node of a file of module. decision is true in a decision module.
func (c *checker) checkNode(n ast.Node, module string, decision bool) {
	switch n := n.(type) {
	case *ast.GoStmt:
		if module != "duty" {
			c.report(n.Pos(), "go statement outside duty")
		}
	case *ast.SelectorExpr:
		c.checkSelector(n, module, decision)
	}
}

// checkSelector checks a qualified identifier such as time.Now.
func (c *checker) checkSelector(n *ast.SelectorExpr, module string, decision bool) {
	pkg, ok := n.X.(*ast.Ident)
	if !ok {
		return
	}
	name := pkg.Name + "." + n.Sel.Name
	if reason, forbidden := forbiddenCalls[name]; forbidden {
		c.report(n.Pos(), name+": "+reason)
	}
	if decision && clockFunctions[name] {
		c.report(n.Pos(), name+": decision modules take the time as an argument")
	}
	if (name == "sync.Mutex" || name == "sync.RWMutex") && module != "ring" {
		c.report(n.Pos(), name+" outside ring")
	}
}

// report records a violation at pos.
func (c *checker) report(pos token.Pos, text string) {
	c.violations = append(c.violations, fmt.Sprintf("%s: %s", c.fileSet.Position(pos), text))
}
