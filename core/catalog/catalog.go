// Package catalog holds what a daemon knows of the fleet's rows in the table.
//
// The table service is the only authority. A catalog is a cache of its rows:
// every row carries the commit number that wrote it, and of two the higher
// stands, whatever the way it came (from the store, or from a peer that is
// ahead or behind). So nothing that a catalog holds ever goes back. Deleted
// rows are kept as tombstones for the same reason.
//
// For example, a daemon polls the store and learns group/redactor-7 at commit
// 41; a peer that was cut off offers it at commit 38; the row stays at 41.
package catalog

import (
	"sort"
	"strings"

	"headcourse/core/table"
)

// Prefix begins the key of every row that a catalog holds.
const Prefix = "fleet/"

// Catalog is an immutable set of rows. The zero value is empty.
type Catalog struct {
	rows map[string]table.Row
	// reached is the highest commit number up to which the store was read.
	reached uint64
}

// Row returns the row of a key. A key never seen, and a deleted one, have a
// row of version 0, which is the version to put into a condition.
func (c Catalog) Row(key string) table.Row {
	row, ok := c.rows[key]
	if !ok || row.Deleted {
		return table.Row{
			Key: key,
		}
	}
	return row
}

// Reached returns the commit number up to which the store itself was read.
func (c Catalog) Reached() uint64 {
	return c.reached
}

// Len returns the number of rows, tombstones included.
func (c Catalog) Len() int {
	return len(c.rows)
}

// Under returns the rows whose keys begin with prefix, in the order of their
// keys, deleted ones left out.
func (c Catalog) Under(prefix string) []table.Row {
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

// WithRows returns the catalog with rows added, and those that were news.
func (c Catalog) WithRows(rows []table.Row) (Catalog, []table.Row) {
	var news []table.Row
	for _, row := range rows {
		if strings.HasPrefix(row.Key, Prefix) && row.Version > c.rows[row.Key].Version {
			news = append(news, row)
		}
	}
	if len(news) == 0 {
		return c, nil
	}
	next := make(map[string]table.Row, len(c.rows)+len(news))
	for key, row := range c.rows {
		next[key] = row
	}
	for _, row := range news {
		if row.Version > next[row.Key].Version {
			next[row.Key] = row
		}
	}
	return Catalog{
		rows:    next,
		reached: c.reached,
	}, news
}

// WithReached returns the catalog with the store read up to a commit number.
func (c Catalog) WithReached(version uint64) Catalog {
	c.reached = max(c.reached, version)
	return c
}

// ByKey returns the rows by key, tombstones included. It must not be changed.
func (c Catalog) ByKey() map[string]table.Row {
	return c.rows
}
