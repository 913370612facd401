// Command literalcheck checks struct literals against the house style: every
// field is named, and a literal with two fields or more has one a line.
//
//	literalcheck DIR...
//
// It knows structs by syntax alone: a literal of a named type whose elements
// are keyed by identifiers, or not keyed although the type is not a slice or a
// map of this syntax. Names of slice and map types are told apart by the
// declarations in the folders it reads.
package main

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
)

func main() {
	checker := &checker{
		files:      token.NewFileSet(),
		notStructs: map[string]bool{},
	}
	for _, root := range os.Args[1:] {
		if err := checker.read(root); err != nil {
			fmt.Fprintln(os.Stderr, "literalcheck:", err)
			os.Exit(2)
		}
	}
	if checker.report() > 0 {
		os.Exit(1)
	}
}

// checker holds the parsed files.
type checker struct {
	files *token.FileSet
	trees []*ast.File
	// notStructs names declared types that are not structs.
	notStructs map[string]bool
}

// read parses all Go files below a folder.
func (c *checker) read(root string) error {
	return filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") {
			return err
		}
		tree, err := parser.ParseFile(c.files, path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		c.trees = append(c.trees, tree)
		ast.Inspect(tree, c.noteType)
		return nil
	})
}

// noteType notes declared types that are not structs.
func (c *checker) noteType(node ast.Node) bool {
	declared, ok := node.(*ast.TypeSpec)
	if !ok {
		return true
	}
	if _, isStruct := declared.Type.(*ast.StructType); !isStruct {
		c.notStructs[declared.Name.Name] = true
	}
	return true
}

// report prints every offence and returns their number.
func (c *checker) report() int {
	found := 0
	for _, tree := range c.trees {
		ast.Inspect(tree, func(node ast.Node) bool {
			literal, ok := node.(*ast.CompositeLit)
			if !ok {
				return true
			}
			found += c.check(literal, literal.Type)
			return true
		})
	}
	return found
}

// check checks one literal of a type, and, for lists, the elements that leave
// their type out.
func (c *checker) check(literal *ast.CompositeLit, typ ast.Expr) int {
	switch shape := typ.(type) {
	case *ast.ArrayType:
		return c.checkElements(literal, shape.Elt)
	case *ast.MapType:
		return c.checkElements(literal, shape.Value)
	case *ast.StructType:
		return c.checkStruct(literal)
	case *ast.Ident:
		if !c.notStructs[shape.Name] {
			return c.checkStruct(literal)
		}
	case *ast.SelectorExpr:
		if !c.notStructs[shape.Sel.Name] {
			return c.checkStruct(literal)
		}
	}
	return 0
}

// checkElements checks the elements of a list or map that leave out their type.
func (c *checker) checkElements(literal *ast.CompositeLit, element ast.Expr) int {
	found := 0
	for _, one := range literal.Elts {
		if pair, ok := one.(*ast.KeyValueExpr); ok {
			one = pair.Value
		}
		inner, ok := one.(*ast.CompositeLit)
		if ok && inner.Type == nil {
			found += c.check(inner, element)
		}
	}
	return found
}

// checkStruct checks one struct literal.
func (c *checker) checkStruct(literal *ast.CompositeLit) int {
	lines := map[int]bool{c.files.Position(literal.Lbrace).Line: true}
	for _, element := range literal.Elts {
		position := c.files.Position(element.Pos())
		if _, ok := element.(*ast.KeyValueExpr); !ok {
			fmt.Printf("%s: struct literal without field names\n", position)
			return 1
		}
		if lines[position.Line] {
			fmt.Printf("%s: struct literal with fields on one line\n", position)
			return 1
		}
		lines[position.Line] = true
	}
	return 0
}
