package declaration

import (
	"encoding/json"
	"fmt"
	"sort"
)

// Diff returns the fields in which two declarations differ, in the order of
// their paths, each as "path: old → new". Entries of lists are named by their
// name, so that an added organisation does not shift the others.
func Diff(from, to Declaration) []string {
	old, fresh := map[string]string{}, map[string]string{}
	flatten("", plain(from), old)
	flatten("", plain(to), fresh)
	paths := make([]string, 0, len(old)+len(fresh))
	for path := range old {
		paths = append(paths, path)
	}
	for path := range fresh {
		if _, ok := old[path]; !ok {
			paths = append(paths, path)
		}
	}
	sort.Strings(paths)
	var differences []string
	for _, path := range paths {
		was, wasThere := old[path]
		is, isThere := fresh[path]
		switch {
		case !wasThere:
			differences = append(differences, fmt.Sprintf("%s: added %s", path, is))
		case !isThere:
			differences = append(differences, fmt.Sprintf("%s: removed %s", path, was))
		case was != is:
			differences = append(differences, fmt.Sprintf("%s: %s → %s", path, was, is))
		}
	}
	return differences
}

// plain returns a declaration as plain JSON values.
func plain(declared Declaration) any {
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

// flatten notes every leaf of a value under its path.
func flatten(path string, value any, leaves map[string]string) {
	switch typed := value.(type) {
	case map[string]any:
		for name, inner := range typed {
			flatten(join(path, name), inner, leaves)
		}
	case []any:
		for i, inner := range typed {
			flatten(path+"["+nameOf(inner, i)+"]", inner, leaves)
		}
	case nil:
	default:
		leaves[path] = fmt.Sprintf("%v", typed)
	}
}

// join puts a name behind a path.
func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// nameOf returns the name of a list's entry, or its place.
func nameOf(entry any, place int) string {
	fields, ok := entry.(map[string]any)
	if !ok {
		return fmt.Sprintf("%v", entry)
	}
	if name, isNamed := fields["name"].(string); isNamed {
		return name
	}
	return fmt.Sprint(place)
}
