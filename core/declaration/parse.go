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

// Parse decodes the files as one declaration and checks it. Each top-level field
// may be in one file only. The error lists the first problem of each file that cannot
// be decoded, or if there is none, all problems that Check finds. It gives the file and
// the line, except for a top-level field that is in none of the files.
func Parse(files []File) (Declaration, error) {
	var merged Declaration
	fileOfField := map[string]File{}
	var messages []string
	for _, file := range files {
		if err := recoverPanics(file, func() error {
			return parseInto(&merged, file, fileOfField)
		}); err != nil {
			messages = append(messages, err.Error())
		}
	}
	if len(messages) > 0 {
		return Declaration{}, errors.New(strings.Join(messages, "\n"))
	}
	for _, problem := range merged.Check() {
		messages = append(messages, formatProblem(problem, fileOfField))
	}
	if len(messages) > 0 {
		return Declaration{}, errors.New(strings.Join(messages, "\n"))
	}
	return merged, nil
}

// recoverPanics runs parse and returns its panic as an error of the file: the YAML
// library panics on some malformed input.
func recoverPanics(file File, parse func() error) (err error) {
	if caught := panics.Try(func() {
		err = parse()
	}); caught != nil {
		return errors.Errorf("%s: cannot be read as YAML: %v", file.Name, caught.Value)
	}
	return err
}

// parseInto decodes one file into merged, and records in fileOfField which
// top-level fields it contains.
func parseInto(merged *Declaration, file File, fileOfField map[string]File) error {
	var fields map[string]any
	if err := yaml.Unmarshal(file.Content, &fields); err != nil {
		return withPosition(file, err)
	}
	for _, field := range slices.Sorted(maps.Keys(fields)) {
		if first, ok := fileOfField[field]; ok {
			return errors.Errorf("%s:%d: %s: stands already in %s", file.Name, lineOfField(field, file), field, first.Name)
		}
		fileOfField[field] = file
	}
	decoder := yaml.NewDecoder(bytes.NewReader(file.Content), yaml.DisallowUnknownField())
	err := decoder.Decode(merged)
	if err != nil && !errors.Is(err, io.EOF) {
		return withPosition(file, err)
	}
	return nil
}

// withPosition returns an error of the YAML library with file, line and column in
// front. The library's message begins with line and column in brackets.
func withPosition(file File, err error) error {
	var line, column int
	firstLine, _, _ := strings.Cut(err.Error(), "\n")
	if _, scanErr := fmt.Sscanf(firstLine, "[%d:%d]", &line, &column); scanErr != nil {
		return errors.Errorf("%s: %s", file.Name, firstLine)
	}
	_, text, _ := strings.Cut(firstLine, "] ")
	return errors.Errorf("%s:%d:%d: %s", file.Name, line, column, text)
}

// formatProblem returns the text of a problem with the file and line of its field.
func formatProblem(problem Problem, fileOfField map[string]File) string {
	topLevelField, _, _ := strings.Cut(problem.Field, ".")
	topLevelField, _, _ = strings.Cut(topLevelField, "[")
	file, ok := fileOfField[topLevelField]
	if !ok {
		return fmt.Sprintf("%s: %s", problem.Field, problem.Message)
	}
	return fmt.Sprintf("%s:%d: %s: %s", file.Name, lineOfField(problem.Field, file), problem.Field, problem.Message)
}

// lineOfField returns the line of a field, or 1 if the file cannot be parsed.
func lineOfField(field string, file File) int {
	line := 1
	_ = recoverPanics(file, func() error {
		line = findLineOfField(field, file)
		return nil
	})
	return line
}

// findLineOfField returns the line of a field, or of the closest enclosing field
// that the file contains.
func findLineOfField(field string, file File) int {
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
		separator := strings.LastIndexAny(field, ".[")
		if separator < 0 {
			break
		}
		field = field[:separator]
	}
	return 1
}
