package declaration_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"headcourse/core/declaration"
	"headcourse/lab/examples"
)

// FuzzParse checks that no input makes Parse panic, and that every accepted
// declaration passes Check.
func FuzzParse(f *testing.F) {
	for _, name := range examples.Names() {
		deployment, err := examples.Load(name)
		qt.Assert(f, err, qt.IsNil)
		f.Add(deployment.File.Content)
	}
	f.Add([]byte("models:\n  - name: [x\n"))
	f.Add([]byte("zones: {a: &a [*a]}\n"))
	f.Fuzz(func(t *testing.T, content []byte) {
		declared, err := declaration.Parse([]declaration.File{{
			Name:    "fuzz.yaml",
			Content: content,
		}})
		if err == nil {
			qt.Assert(t, declared.Check(), qt.HasLen, 0)
		}
	})
}

func TestDiffLabelsListEntriesByName(t *testing.T) {
	deployment, err := examples.Load("caudal-andino")
	qt.Assert(t, err, qt.IsNil)
	from := deployment.Declaration
	to := deployment.WithScale(2).Declaration
	to.Organisations = append([]declaration.Organisation{{
		Name: "nueva",
	}}, from.Organisations...)
	differences := declaration.Diff(from, to)
	qt.Assert(t, differences, qt.Contains, "models[redactor].replicas.ibarra: 2 → 4")
	qt.Assert(t, differences, qt.Contains, "organisations[nueva].name: added nueva")
	qt.Assert(t, declaration.Diff(from, from), qt.HasLen, 0)
}

func TestServiceForReturnsLongestPrefix(t *testing.T) {
	declared := declaration.Declaration{
		Services: []declaration.Service{{
			Name:   "a",
			Prefix: "/a",
		}, {
			Name:   "ab",
			Prefix: "/a/b",
		}},
	}
	for path, expected := range map[string]string{
		"/a":     "a",
		"/a/x":   "a",
		"/a/b":   "ab",
		"/a/b/x": "ab",
		"/a/bx":  "a",
		"/ab":    "",
	} {
		service, _ := declared.ServiceFor(path)
		qt.Assert(t, service.Name, qt.Equals, expected, qt.Commentf(path))
	}
}
