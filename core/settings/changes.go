package settings

import (
	"reflect"
	"strings"
	"unicode"
)

// Changes returns the names, in snake case, of the settings in which others differ, in the order of the fields.
func (s Settings) Changes(others Settings) []string {
	var names []string
	own, other := reflect.ValueOf(s), reflect.ValueOf(others)
	for i := range own.NumField() {
		if !own.Field(i).Equal(other.Field(i)) {
			names = append(names, snakeCase(own.Type().Field(i).Name))
		}
	}
	return names
}

// snakeCase returns a Go name in snake case. A run of capitals is one word.
func snakeCase(name string) string {
	var snake strings.Builder
	wasLower := false
	for _, letter := range name {
		if unicode.IsUpper(letter) && wasLower {
			snake.WriteByte('_')
		}
		wasLower = !unicode.IsUpper(letter)
		snake.WriteRune(unicode.ToLower(letter))
	}
	return snake.String()
}
