// Package tablestore is the stand-in for the platform's table service.
//
// Memory keeps the rows and implements table.Store directly, for tests that
// need no sockets. Handler serves the same over HTTP as JSON. Both count reads
// and writes, which the capacity figures are measured from.
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

// Counts are the operations served so far.
type Counts struct {
	Commits   int64 `json:"commits"`
	Conflicts int64 `json:"conflicts"`
	Reads     int64 `json:"reads"`
	RowsRead  int64 `json:"rows_read"`
}

// Memory is a table in memory. The zero value is empty. Deleted rows leave a
// tombstone where catalogs look for changes, and nothing elsewhere.
type Memory struct {
	mutex   sync.Mutex
	rows    map[string]table.Row
	order   []string
	version uint64
	counts  Counts
	// OnCommit, where set, is called with every commit that landed, under the
	// table's lock; tests check promises in it.
	OnCommit func(transaction table.Transaction, rows map[string]table.Row)
}

// Commit applies a transaction if all its conditions hold.
func (m *Memory) Commit(_ context.Context, transaction table.Transaction) (uint64, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, condition := range transaction.Conditions {
		row := m.rows[condition.Key]
		present := row.Version
		if row.Deleted {
			present = 0
		}
		if present != condition.Version {
			m.counts.Conflicts++
			return 0, errors.Wrapf(table.ErrConflict, "row %q is at %d, not %d", condition.Key, present, condition.Version)
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
		m.order = append(m.order, write.Key)
	}
	m.compactOrder()
	if m.OnCommit != nil {
		m.OnCommit(transaction, m.rows)
	}
	return m.version, nil
}

// slackOrder is how many superseded entries the order of writes may hold.
const slackOrder = 1024

// compactOrder drops superseded entries from the order of writes. The mutex is
// held.
func (m *Memory) compactOrder() {
	if len(m.order) <= slackOrder+2*len(m.rows) {
		return
	}
	keys := make([]string, 0, len(m.rows))
	for key := range m.rows {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool {
		return m.rows[keys[i]].Version < m.rows[keys[j]].Version
	})
	m.order = keys
}

// Drop removes a row without a trace; tests drop markers that nobody needs.
func (m *Memory) Drop(key string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	delete(m.rows, key)
}

// Read returns a row; one never written has version 0.
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

// Scan returns rows that changed after a version.
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
		found, result.More = cutAtVersion(found, request.Limit), true
		result.Version = found[len(found)-1].Version
	}
	result.Rows = found
	m.counts.RowsRead += int64(len(found))
	return result, nil
}

// changedAfter returns the rows changed after a version, from the end of the
// order of writes, as an index on the version would.
func (m *Memory) changedAfter(after uint64) []table.Row {
	var changed []table.Row
	seen := map[string]bool{}
	for i := len(m.order) - 1; i >= 0; i-- {
		row, ok := m.rows[m.order[i]]
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

// cutAtVersion cuts rows to about limit, never within one commit.
func cutAtVersion(rows []table.Row, limit int) []table.Row {
	end := limit
	for end < len(rows) && rows[end].Version == rows[end-1].Version {
		end++
	}
	return rows[:end]
}

// Counts returns the operations served so far.
func (m *Memory) Counts() Counts {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.counts
}

// Rows returns the number of rows, and of those under a prefix.
func (m *Memory) Rows(prefix string) (all, under int) {
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
			reply(ctx, row, err)
		case "/scan":
			var request table.ScanRequest
			if err := json.Unmarshal(ctx.PostBody(), &request); err != nil {
				ctx.Error(err.Error(), fasthttp.StatusBadRequest)
				return
			}
			result, err := memory.Scan(ctx, request)
			reply(ctx, result, err)
		case "/lab/counts":
			reply(ctx, memory.Counts(), nil)
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
	reply(ctx, CommitReply{
		Version: version,
	}, err)
}

// CommitReply is the answer to a commit that landed.
type CommitReply struct {
	Version uint64 `json:"version"`
}

// reply writes a value as JSON, or an error.
func reply(ctx *fasthttp.RequestCtx, value any, err error) {
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
