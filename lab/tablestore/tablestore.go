// Package tablestore is the stand-in for the platform's table service.
//
// Memory holds the rows and implements table.Store directly, for tests without sockets.
// Handler serves it as JSON over HTTP. Memory counts reads and commits, on which the capacity
// figures are based.
package tablestore

import (
	"context"
	"encoding/json"
	"sort"
	"strings"
	"sync"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"headcourse/core/catalog"
	"headcourse/core/table"
)

// Counts holds the number of operations served so far.
type Counts struct {
	Commits   int64 `json:"commits"`
	Conflicts int64 `json:"conflicts"`
	Reads     int64 `json:"reads"`
	RowsRead  int64 `json:"rows_read"`
}

// Memory is an in-memory table. The zero value is empty. A deleted row leaves a tombstone if
// its key has the prefix of catalogs, which scan for changes. Other deleted rows leave none.
type Memory struct {
	mutex      sync.Mutex
	rows       map[string]table.Row
	writeOrder []string
	version    uint64
	counts     Counts
	// OnCommit, if set, is called after every successful commit, with the table's mutex held.
	// Tests check invariants in it.
	OnCommit func(transaction table.Transaction, rows map[string]table.Row)
}

// Commit applies a transaction if all its conditions hold.
func (m *Memory) Commit(_ context.Context, transaction table.Transaction) (uint64, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, condition := range transaction.Conditions {
		row := m.rows[condition.Key]
		currentVersion := row.Version
		if row.Deleted {
			currentVersion = 0
		}
		if currentVersion != condition.Version {
			m.counts.Conflicts++
			return 0, errors.Wrapf(table.ErrConflict, "row %q is at %d, not %d", condition.Key, currentVersion, condition.Version)
		}
	}
	m.counts.Commits++
	m.version++
	if m.rows == nil {
		m.rows = map[string]table.Row{}
	}
	for _, write := range transaction.Writes {
		if write.Delete && !strings.HasPrefix(write.Key, catalog.Prefix) {
			delete(m.rows, write.Key)
			continue
		}
		m.rows[write.Key] = table.Row{
			Key:     write.Key,
			Version: m.version,
			Value:   append(json.RawMessage(nil), write.Value...),
			Deleted: write.Delete,
		}
		m.writeOrder = append(m.writeOrder, write.Key)
	}
	m.compactWriteOrder()
	if m.OnCommit != nil {
		m.OnCommit(transaction, m.rows)
	}
	return m.version, nil
}

// maxSupersededEntries is the number of superseded entries that the write order can always
// hold. The limit grows with the number of rows.
const maxSupersededEntries = 1024

// compactWriteOrder removes superseded entries from the write order. The mutex is held.
func (m *Memory) compactWriteOrder() {
	if len(m.writeOrder) <= maxSupersededEntries+2*len(m.rows) {
		return
	}
	keys := make([]string, 0, len(m.rows))
	for key := range m.rows {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool {
		return m.rows[keys[i]].Version < m.rows[keys[j]].Version
	})
	m.writeOrder = keys
}

// Drop removes a row without a tombstone. Tests remove markers that are no longer needed.
func (m *Memory) Drop(key string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	delete(m.rows, key)
}

// Read returns a row. A row that does not exist has version 0. A tombstone is returned with its
// version and Deleted set.
func (m *Memory) Read(_ context.Context, key string) (table.Row, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.counts.Reads++
	m.counts.RowsRead++
	row, ok := m.rows[key]
	if !ok {
		return table.Row{
			Key: key,
		}, nil
	}
	return row, nil
}

// Scan returns rows that changed after a version, in the order of their versions. The result may
// exceed the limit, because it never ends within the rows of one commit.
func (m *Memory) Scan(_ context.Context, request table.ScanRequest) (table.ScanResult, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.counts.Reads++
	var found []table.Row
	for _, row := range m.changedAfter(request.After) {
		if strings.HasPrefix(row.Key, request.Prefix) {
			found = append(found, row)
		}
	}
	sort.Slice(found, func(i, j int) bool {
		if found[i].Version != found[j].Version {
			return found[i].Version < found[j].Version
		}
		return found[i].Key < found[j].Key
	})
	result := table.ScanResult{
		Version: m.version,
	}
	if request.Limit > 0 && len(found) > request.Limit {
		found, result.HasMore = truncateAtVersion(found, request.Limit), true
		result.Version = found[len(found)-1].Version
	}
	result.Rows = found
	m.counts.RowsRead += int64(len(found))
	return result, nil
}

// changedAfter returns the rows that changed after a version. It reads the write order from
// its end, as an index on the version would.
func (m *Memory) changedAfter(after uint64) []table.Row {
	var changed []table.Row
	seen := map[string]bool{}
	for i := len(m.writeOrder) - 1; i >= 0; i-- {
		row, ok := m.rows[m.writeOrder[i]]
		if !ok || seen[row.Key] {
			continue
		}
		if row.Version <= after {
			break
		}
		seen[row.Key] = true
		changed = append(changed, row)
	}
	return changed
}

// truncateAtVersion truncates rows to limit, or to the end of the commit that spans the limit.
func truncateAtVersion(rows []table.Row, limit int) []table.Row {
	end := limit
	for end < len(rows) && rows[end].Version == rows[end-1].Version {
		end++
	}
	return rows[:end]
}

// Counts returns the number of operations served so far.
func (m *Memory) Counts() Counts {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.counts
}

// CountRows returns the number of rows including tombstones, and the number of rows under a
// prefix without them.
func (m *Memory) CountRows(prefix string) (all, under int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for key, row := range m.rows {
		if !row.Deleted && strings.HasPrefix(key, prefix) {
			under++
		}
	}
	return len(m.rows), under
}

// ----------------------------------------------------------------------------
// HTTP

// Handler serves a table as JSON over HTTP.
func Handler(memory *Memory) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		switch string(ctx.Path()) {
		case "/commit":
			serveCommit(ctx, memory)
		case "/read":
			row, err := memory.Read(ctx, string(ctx.QueryArgs().Peek("key")))
			writeReply(ctx, row, err)
		case "/scan":
			var request table.ScanRequest
			if err := json.Unmarshal(ctx.PostBody(), &request); err != nil {
				ctx.Error(err.Error(), fasthttp.StatusBadRequest)
				return
			}
			result, err := memory.Scan(ctx, request)
			writeReply(ctx, result, err)
		case "/lab/counts":
			writeReply(ctx, memory.Counts(), nil)
		default:
			ctx.Error("no such path", fasthttp.StatusNotFound)
		}
	}
}

// serveCommit serves one transaction.
func serveCommit(ctx *fasthttp.RequestCtx, memory *Memory) {
	var transaction table.Transaction
	if err := json.Unmarshal(ctx.PostBody(), &transaction); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	version, err := memory.Commit(ctx, transaction)
	writeReply(ctx, CommitReply{
		Version: version,
	}, err)
}

// CommitReply is the answer to a successful commit.
type CommitReply struct {
	Version uint64 `json:"version"`
}

// writeReply writes a value as JSON, or an error.
func writeReply(ctx *fasthttp.RequestCtx, value any, err error) {
	if errors.Is(err, table.ErrConflict) {
		ctx.Error(err.Error(), fasthttp.StatusConflict)
		return
	}
	body, encodeErr := json.Marshal(value)
	if err != nil || encodeErr != nil {
		ctx.Error("internal", fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
