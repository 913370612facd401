package declaration

import (
	"encoding/json"
	"fmt"
	"sort"
)

// Diff returns the fields in which two declarations differ, in the order of
// their paths, each as "path: old → new", "path: added new" or "path: removed old".
// Paths contain the names of list entries instead of indexes, so that an added
// organisation does not change the paths of the others.
func Diff(from, to Declaration) []string {
	oldLeaves, newLeaves := map[string]string{}, map[string]string{}
	flatten("", toJSONValue(from), oldLeaves)
	flatten("", toJSONValue(to), newLeaves)
	paths := make([]string, 0, len(oldLeaves)+len(newLeaves))
	for path := range oldLeaves {
		paths = append(paths, path)
	}
	for path := range newLeaves {
		if _, ok := oldLeaves[path]; !ok {
			paths = append(paths, path)
		}
	}
	sort.Strings(paths)
	var differences []string
	for _, path := range paths {
		oldValue, inOld := oldLeaves[path]
		newValue, inNew := newLeaves[path]
		switch {
		case !inOld:
			differences = append(differences, fmt.Sprintf("%s: added %s", path, newValue))
		case !inNew:
			differences = append(differences, fmt.Sprintf("%s: removed %s", path, oldValue))
		case oldValue != newValue:
			differences = append(differences, fmt.Sprintf("%s: %s → %s", path, oldValue, newValue))
		}
	}
	return differences
}

// toJSONValue converts a declaration to generic JSON values.
func toJSONValue(declared Declaration) any {
	encoded, err := json.Marshal(declared)
	if err != nil {
		return nil
	}
	var value any
	if json.Unmarshal(encoded, &value) != nil {
		return nil
	}
	return value
}

// flatten adds every leaf of a value to leaves, by its path.
func flatten(path string, value any, leaves map[string]string) {
	switch typed := value.(type) {
	case map[string]any:
		for name, child := range typed {
			flatten(joinPath(path, name), child, leaves)
		}
	case []any:
		for i, child := range typed {
			flatten(path+"["+entryLabel(child, i)+"]", child, leaves)
		}
	case nil:
	default:
		leaves[path] = fmt.Sprintf("%v", typed)
	}
}

// joinPath appends a field name to a path.
func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// entryLabel returns what identifies a list entry in a path: the value of a scalar,
// the name field of an object, or else the index.
func entryLabel(entry any, index int) string {
	fields, ok := entry.(map[string]any)
	if !ok {
		return fmt.Sprintf("%v", entry)
	}
	if name, isNamed := fields["name"].(string); isNamed {
		return name
	}
	return fmt.Sprint(index)
}
