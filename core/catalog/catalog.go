// Package catalog holds a daemon's cache of the fleet's rows in the table.
//
// The table service is the only authority for these rows. Every row carries the number of the
// commit that wrote it. Of two versions of a row the catalog keeps the higher, whether it came from
// the store or from a peer that is ahead or behind. So a row in a catalog never goes back. Deleted
// rows are kept as tombstones for the same reason.
//
// For example, a daemon polls the store and reads fleet/group/redactor-7 at commit 41. A peer that
// was cut off offers it at commit 38. The row stays at 41.
package catalog

import (
	"sort"
	"strings"

	"headcourse/core/table"
)

// Prefix is the prefix of the keys of all rows in a catalog.
const Prefix = "fleet/"

// Catalog is an immutable set of rows. The zero value is empty.
type Catalog struct {
	rows map[string]table.Row
	// readVersion is the highest commit number up to which the store was read.
	readVersion uint64
}

// Row returns the row of a key. For an unknown or deleted key it returns a row of version 0, which
// is the version to use in a condition.
func (c Catalog) Row(key string) table.Row {
	row, ok := c.rows[key]
	if !ok || row.Deleted {
		return table.Row{
			Key: key,
		}
	}
	return row
}

// ReadVersion returns the commit number up to which the store itself was read.
func (c Catalog) ReadVersion() uint64 {
	return c.readVersion
}

// Len returns the number of rows, including tombstones.
func (c Catalog) Len() int {
	return len(c.rows)
}

// WithPrefix returns the rows whose keys have a prefix, sorted by key, without deleted rows.
func (c Catalog) WithPrefix(prefix string) []table.Row {
	var found []table.Row
	for key, row := range c.rows {
		if !row.Deleted && strings.HasPrefix(key, prefix) {
			found = append(found, row)
		}
	}
	sort.Slice(found, func(i, j int) bool {
		return found[i].Key < found[j].Key
	})
	return found
}

// WithRows returns the catalog with rows added, and those of them that are newer than the catalog's
// rows. If several of these have the same key, all are returned and the newest one is added. Rows
// without Prefix are ignored.
func (c Catalog) WithRows(rows []table.Row) (Catalog, []table.Row) {
	var changed []table.Row
	for _, row := range rows {
		if strings.HasPrefix(row.Key, Prefix) && row.Version > c.rows[row.Key].Version {
			changed = append(changed, row)
		}
	}
	if len(changed) == 0 {
		return c, nil
	}
	next := make(map[string]table.Row, len(c.rows)+len(changed))
	for key, row := range c.rows {
		next[key] = row
	}
	for _, row := range changed {
		if row.Version > next[row.Key].Version {
			next[row.Key] = row
		}
	}
	return Catalog{
		rows:        next,
		readVersion: c.readVersion,
	}, changed
}

// WithReadVersion returns the catalog with the store read up to a commit number, or further if it
// already was.
func (c Catalog) WithReadVersion(version uint64) Catalog {
	c.readVersion = max(c.readVersion, version)
	return c
}

// ByKey returns the rows by key, including tombstones. The caller must not change the map.
func (c Catalog) ByKey() map[string]table.Row {
	return c.rows
}
