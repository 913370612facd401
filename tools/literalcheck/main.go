// Command literalcheck checks struct literals against the code style of the
// project: every field is named and is on a line of its own.
//
//	literalcheck DIR...
//
// It prints the first violation of each literal with its position. The exit code is
// 0 for none, 1 for some, and 2 if a file cannot be parsed.
//
// It uses syntax only, without type information. A literal of a named type counts
// as a struct literal unless a type of that name, in any of the folders, is
// declared as something other than a struct.
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
	checker := &literalChecker{
		fileSet:        token.NewFileSet(),
		nonStructTypes: map[string]bool{},
	}
	for _, root := range os.Args[1:] {
		if err := checker.parseFolder(root); err != nil {
			fmt.Fprintln(os.Stderr, "literalcheck:", err)
			os.Exit(2)
		}
	}
	if checker.reportViolations() > 0 {
		os.Exit(1)
	}
}

// literalChecker holds the parsed files.
type literalChecker struct {
	fileSet     *token.FileSet
	syntaxTrees []*ast.File
	// nonStructTypes holds the names of declared types that are not structs,
	// without their packages.
	nonStructTypes map[string]bool
}

// parseFolder parses all Go files below a folder and collects the names of their
// types that are not structs.
func (c *literalChecker) parseFolder(root string) error {
	return filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") {
			return err
		}
		syntaxTree, err := parser.ParseFile(c.fileSet, path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		c.syntaxTrees = append(c.syntaxTrees, syntaxTree)
		ast.Inspect(syntaxTree, c.recordNonStructType)
		return nil
	})
}

// recordNonStructType stores the name of a declared type that is not a struct. It
// returns true, so that ast.Inspect also visits the node's children.
func (c *literalChecker) recordNonStructType(node ast.Node) bool {
	declared, ok := node.(*ast.TypeSpec)
	if !ok {
		return true
	}
	if _, isStruct := declared.Type.(*ast.StructType); !isStruct {
		c.nonStructTypes[declared.Name.Name] = true
	}
	return true
}

// reportViolations prints the first violation of each literal and returns how many
// it printed.
func (c *literalChecker) reportViolations() int {
	violations := 0
	for _, syntaxTree := range c.syntaxTrees {
		ast.Inspect(syntaxTree, func(node ast.Node) bool {
			literal, ok := node.(*ast.CompositeLit)
			if !ok {
				return true
			}
			violations += c.checkLiteral(literal, literal.Type)
			return true
		})
	}
	return violations
}

// checkLiteral checks a literal of a type and returns the number of violations.
// For arrays, slices and maps it checks the elements whose type is omitted; the
// other elements are visited as literals of their own.
func (c *literalChecker) checkLiteral(literal *ast.CompositeLit, literalType ast.Expr) int {
	switch concreteType := literalType.(type) {
	case *ast.ArrayType:
		return c.checkElements(literal, concreteType.Elt)
	case *ast.MapType:
		return c.checkElements(literal, concreteType.Value)
	case *ast.StructType:
		return c.checkStruct(literal)
	case *ast.Ident:
		if !c.nonStructTypes[concreteType.Name] {
			return c.checkStruct(literal)
		}
	case *ast.SelectorExpr:
		if !c.nonStructTypes[concreteType.Sel.Name] {
			return c.checkStruct(literal)
		}
	}
	return 0
}

// checkElements checks the elements of an array, slice or map literal whose type
// is omitted. For maps these are the values.
func (c *literalChecker) checkElements(literal *ast.CompositeLit, elementType ast.Expr) int {
	violations := 0
	for _, element := range literal.Elts {
		if pair, ok := element.(*ast.KeyValueExpr); ok {
			element = pair.Value
		}
		untypedLiteral, ok := element.(*ast.CompositeLit)
		if ok && untypedLiteral.Type == nil {
			violations += c.checkLiteral(untypedLiteral, elementType)
		}
	}
	return violations
}

// checkStruct checks a struct literal. It prints the first violation and returns 1,
// or returns 0 if there is none. A field on the line of the opening brace is a
// violation.
func (c *literalChecker) checkStruct(literal *ast.CompositeLit) int {
	occupiedLines := map[int]bool{c.fileSet.Position(literal.Lbrace).Line: true}
	for _, element := range literal.Elts {
		position := c.fileSet.Position(element.Pos())
		if _, ok := element.(*ast.KeyValueExpr); !ok {
			fmt.Printf("%s: struct literal without field names\n", position)
			return 1
		}
		if occupiedLines[position.Line] {
			fmt.Printf("%s: struct literal with fields on one line\n", position)
			return 1
		}
		occupiedLines[position.Line] = true
	}
	return 0
}
