package catalog_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"headcourse/core/catalog"
	"headcourse/core/table"
)

// row returns a row at a version.
func row(version uint64, isDeleted bool) table.Row {
	return table.Row{
		Key:     catalog.Prefix + "a",
		Version: version,
		Value:   []byte(`1`),
		Deleted: isDeleted,
	}
}

func TestWithRowsIgnoresOlderVersions(t *testing.T) {
	known, changed := catalog.Catalog{}.WithRows([]table.Row{row(5, false)})
	qt.Assert(t, changed, qt.HasLen, 1)
	behind, changed := known.WithRows([]table.Row{row(4, false), row(3, true)})
	qt.Assert(t, changed, qt.HasLen, 0)
	qt.Assert(t, behind.Row(catalog.Prefix+"a").Version, qt.Equals, uint64(5))
	ahead, _ := known.WithRows([]table.Row{row(7, false), row(6, false)})
	qt.Assert(t, ahead.Row(catalog.Prefix+"a").Version, qt.Equals, uint64(7))
	qt.Assert(t, known.Row(catalog.Prefix+"a").Version, qt.Equals, uint64(5))
}

func TestDeletedRowIsNotRestoredByOlderVersion(t *testing.T) {
	known, _ := catalog.Catalog{}.WithRows([]table.Row{row(5, false)})
	deleted, _ := known.WithRows([]table.Row{row(6, true)})
	again, _ := deleted.WithRows([]table.Row{row(5, false)})
	qt.Assert(t, again.Row(catalog.Prefix+"a").Version, qt.Equals, uint64(0))
	qt.Assert(t, again.WithPrefix(catalog.Prefix), qt.HasLen, 0)
}
