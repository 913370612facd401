package catalog_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"headcourse/core/catalog"
	"headcourse/core/table"
)

// row is a row at a version.
func row(version uint64, isDeleted bool) table.Row {
	return table.Row{
		Key:     catalog.Prefix + "a",
		Version: version,
		Value:   []byte(`1`),
		Deleted: isDeleted,
	}
}

func TestRowsNeverGoBack(t *testing.T) {
	known, news := catalog.Catalog{}.WithRows([]table.Row{row(5, false)})
	qt.Assert(t, news, qt.HasLen, 1)
	behind, news := known.WithRows([]table.Row{row(4, false), row(3, true)})
	qt.Assert(t, news, qt.HasLen, 0)
	qt.Assert(t, behind.Row(catalog.Prefix+"a").Version, qt.Equals, uint64(5))
	ahead, _ := known.WithRows([]table.Row{row(7, false), row(6, false)})
	qt.Assert(t, ahead.Row(catalog.Prefix+"a").Version, qt.Equals, uint64(7))
	qt.Assert(t, known.Row(catalog.Prefix+"a").Version, qt.Equals, uint64(5))
}

func TestDeletedRowsDoNotComeBack(t *testing.T) {
	known, _ := catalog.Catalog{}.WithRows([]table.Row{row(5, false)})
	gone, _ := known.WithRows([]table.Row{row(6, true)})
	again, _ := gone.WithRows([]table.Row{row(5, false)})
	qt.Assert(t, again.Row(catalog.Prefix+"a").Version, qt.Equals, uint64(0))
	qt.Assert(t, again.Under(catalog.Prefix), qt.HasLen, 0)
}
