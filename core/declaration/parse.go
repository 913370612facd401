package declaration

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/parser"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/panics"
)

// File is one YAML file of a declaration.
type File struct {
	Name    string
	Content []byte
}

// Parse reads the files as one declaration and checks it. A top-level field
// may stand in one file only. The error lists every mistake with its place.
func Parse(files []File) (Declaration, error) {
	var merged Declaration
	origin := map[string]File{}
	var mistakes []string
	for _, file := range files {
		if err := guard(file, func() error {
			return parseInto(&merged, file, origin)
		}); err != nil {
			mistakes = append(mistakes, err.Error())
		}
	}
	if len(mistakes) > 0 {
		return Declaration{}, errors.New(strings.Join(mistakes, "\n"))
	}
	for _, problem := range merged.Check() {
		mistakes = append(mistakes, locate(problem, origin))
	}
	if len(mistakes) > 0 {
		return Declaration{}, errors.New(strings.Join(mistakes, "\n"))
	}
	return merged, nil
}

// guard runs work on a file. The YAML library panics on some malformed input;
// that is the file's mistake like any other.
func guard(file File, work func() error) (err error) {
	if recovered := panics.Try(func() {
		err = work()
	}); recovered != nil {
		return errors.Errorf("%s: cannot be read as YAML: %v", file.Name, recovered.Value)
	}
	return err
}

// parseInto decodes one file into merged, and notes which fields it holds.
func parseInto(merged *Declaration, file File, origin map[string]File) error {
	var fields map[string]any
	if err := yaml.Unmarshal(file.Content, &fields); err != nil {
		return atPlace(file, err)
	}
	for _, field := range slices.Sorted(maps.Keys(fields)) {
		if first, ok := origin[field]; ok {
			return errors.Errorf("%s:%d: %s: stands already in %s", file.Name, lineOf(field, file), field, first.Name)
		}
		origin[field] = file
	}
	decoder := yaml.NewDecoder(bytes.NewReader(file.Content), yaml.DisallowUnknownField())
	err := decoder.Decode(merged)
	if err != nil && !errors.Is(err, io.EOF) {
		return atPlace(file, err)
	}
	return nil
}

// atPlace puts the file before an error of the YAML library, whose message
// begins with the line and column in brackets.
func atPlace(file File, err error) error {
	var line, column int
	first, _, _ := strings.Cut(err.Error(), "\n")
	if _, scanErr := fmt.Sscanf(first, "[%d:%d]", &line, &column); scanErr != nil {
		return errors.Errorf("%s: %s", file.Name, first)
	}
	_, text, _ := strings.Cut(first, "] ")
	return errors.Errorf("%s:%d:%d: %s", file.Name, line, column, text)
}

// locate returns a problem with the file and line of its field.
func locate(problem Problem, origin map[string]File) string {
	top, _, _ := strings.Cut(problem.Field, ".")
	top, _, _ = strings.Cut(top, "[")
	file, ok := origin[top]
	if !ok {
		return fmt.Sprintf("%s: %s", problem.Field, problem.Text)
	}
	return fmt.Sprintf("%s:%d: %s: %s", file.Name, lineOf(problem.Field, file), problem.Field, problem.Text)
}

// lineOf returns the line of a field, or of the nearest field around it.
func lineOf(field string, file File) int {
	line := 1
	_ = guard(file, func() error {
		line = findLine(field, file)
		return nil
	})
	return line
}

// findLine looks for the line of a field in the parsed file.
func findLine(field string, file File) int {
	parsed, err := parser.ParseBytes(file.Content, 0)
	if err != nil {
		return 1
	}
	for field != "" {
		path, pathErr := yaml.PathString("$." + field)
		if pathErr == nil {
			node, nodeErr := path.FilterFile(parsed)
			if nodeErr == nil && node != nil {
				return node.GetToken().Position.Line
			}
		}
		cut := strings.LastIndexAny(field, ".[")
		if cut < 0 {
			break
		}
		field = field[:cut]
	}
	return 1
}
