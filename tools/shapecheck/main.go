// Command shapecheck enforces the layout and concurrency rules of docs/design.md section 3.
//
// It reports go statements outside duty, mutexes outside ring, sleeping, bare error strings, and I/O or clock use
// in decision modules. It prints one line per violation and exits with 1 when there is any.
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
	exitUsage      = 2
)

var decisionModules = []string{"admission", "catalog", "config", "dispatch", "keyspace", "ownership", "placement", "routing", "types"}

// forbiddenInDecisions lists import paths that perform I/O, log or hide a random source.
var forbiddenInDecisions = []string{
	"net", "os", "io/fs", "io/ioutil", "log", "syscall", "math/rand", "crypto/rand",
	"github.com/apex/log", "github.com/VictoriaMetrics/metrics", "golang.org/x/sys",
}

// bannedCalls lists calls that no product code may make, with the reason.
var bannedCalls = map[string]string{
	"time.Sleep":                         "waiting must park on a ring, timer or context",
	"errors.New":                         "every failure has a type: use types.Fault",
	"fmt.Errorf":                         "every failure has a type: use types.Fault",
	"httputil.NewSingleHostReverseProxy": "no ready-made proxy",
}

// bannedInDecisions lists clock reads.
var bannedInDecisions = map[string]bool{
	"time.Now": true, "time.Since": true, "time.Until": true, "time.After": true,
	"time.Tick": true, "time.NewTimer": true, "time.NewTicker": true, "time.AfterFunc": true,
}

type checker struct {
	set        *token.FileSet
	violations []string
}

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: shapecheck ROOT")
		os.Exit(exitUsage)
	}
	c := &checker{set: token.NewFileSet()}
	if err := c.walk(os.Args[1]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUsage)
	}
	for _, v := range c.violations {
		fmt.Println(v)
	}
	if len(c.violations) > 0 {
		os.Exit(exitViolations)
	}
	os.Exit(exitClean)
}

func (c *checker) walk(root string) error {
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
		return c.file(path, module(rel))
	})
}

func module(rel string) string {
	first, _, _ := strings.Cut(filepath.ToSlash(rel), "/")
	return first
}

func (c *checker) file(path, module string) error {
	if module == "tools" {
		return nil
	}
	f, err := parser.ParseFile(c.set, path, nil, 0)
	if err != nil {
		return err
	}
	decision := slices.Contains(decisionModules, module)
	if decision {
		c.imports(f, path)
	}
	ast.Inspect(f, func(n ast.Node) bool {
		c.node(n, module, decision)
		return true
	})
	return nil
}

func (c *checker) imports(f *ast.File, path string) {
	for _, spec := range f.Imports {
		name, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			continue
		}
		for _, bad := range forbiddenInDecisions {
			if name == bad || strings.HasPrefix(name, bad+"/") {
				c.add(spec.Pos(), "decision module imports "+name)
			}
		}
	}
}

func (c *checker) node(n ast.Node, module string, decision bool) {
	switch n := n.(type) {
	case *ast.GoStmt:
		if module != "duty" {
			c.add(n.Pos(), "go statement outside duty")
		}
	case *ast.SelectorExpr:
		c.selector(n, module, decision)
	}
}

func (c *checker) selector(n *ast.SelectorExpr, module string, decision bool) {
	pkg, ok := n.X.(*ast.Ident)
	if !ok {
		return
	}
	name := pkg.Name + "." + n.Sel.Name
	if reason, banned := bannedCalls[name]; banned {
		c.add(n.Pos(), name+": "+reason)
	}
	if decision && bannedInDecisions[name] {
		c.add(n.Pos(), name+": decision modules take the time as an argument")
	}
	if (name == "sync.Mutex" || name == "sync.RWMutex") && module != "ring" {
		c.add(n.Pos(), name+" outside ring")
	}
}

func (c *checker) add(pos token.Pos, text string) {
	c.violations = append(c.violations, fmt.Sprintf("%s: %s", c.set.Position(pos), text))
}
