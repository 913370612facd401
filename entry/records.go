package entry

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"headcourse/core/assembly"
	"headcourse/core/rowstore"
	"headcourse/io/gateway"
	"headcourse/io/logline"
	"headcourse/platform"
)

const (
	// readTimeout bounds one attempt to read the records of all groups.
	readTimeout = time.Second
	// readRetryInterval is the time between two attempts. The store may reject only the
	// leader's calls.
	readRetryInterval = 400 * time.Millisecond
)

// maxCommitRows is how many rows one change may write or remove. The lease takes two more
// entries of the transaction: its condition and its renewal.
const maxCommitRows = platform.MaxTransactionEntries - 2

// commitPending starts to commit pending changes, one commit at a time and at most as many rows
// as a transaction holds. Orders and probes continue in the meantime, since the store may be
// slow.
func (t *term) commitPending(ctx context.Context) {
	if t.isCommitting || !t.pendingChanges.HasChanges() {
		return
	}
	plan, rest := t.pendingChanges.Split(maxCommitRows)
	t.pendingChanges = rest
	t.isCommitting = true
	go func() {
		revision, err := t.commit(ctx, plan)
		t.enqueue(ctx, func() {
			t.isCommitting = false
			t.finishCommit(plan, revision, err)
		})
	}()
}

// finishCommit handles the result of a commit.
func (t *term) finishCommit(plan assembly.Plan, revision rowstore.Revision, err error) {
	if err != nil {
		t.mustReadRecords = true
		t.pendingChanges = assembly.Plan{}
		t.daemon.log.Warn("groups: commit not confirmed, records are read again", logline.ErrorField(err))
		return
	}
	t.controller.RecordsCreated(plan.NewRecords, revision.Version)
	t.controller.RecordsRemoved(plan.RemovedGroups)
	t.controller.ReportsRemoved(plan.ClearedSuspicions)
	for _, record := range plan.NewRecords {
		epoch := record.WithVersion(revision.Version).Epoch
		t.daemon.log.Info("groups: created", zap.String("group", record.Name), zap.Int64("epoch", epoch), zap.String("model", record.Model), zap.Strings("members", record.Members))
	}
}

// readRecords reads the records of all groups and the recently loaded models. It returns false
// if a read failed, if the records are not of the lease's era, or if the last attempt is less
// than readRetryInterval ago.
func (t *term) readRecords(ctx context.Context) bool {
	if time.Since(t.lastReadAttempt) < readRetryInterval {
		return false
	}
	t.lastReadAttempt = time.Now()
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	result, err := t.daemon.store.Read(ctx, assembly.Table)
	if err != nil {
		t.daemon.recordStoreError(assembly.Table)(err)
		return false
	}
	var records []assembly.Record
	for _, row := range result.Rows {
		record, decodeErr := assembly.DecodeRecord(row.Value, row.Version)
		if decodeErr != nil {
			t.daemon.recordRejectedRow(assembly.Table, row, decodeErr)
			continue
		}
		records = append(records, record)
	}
	if !t.readRecentModels(ctx) {
		return false
	}
	if result.Era != t.lease.Era() {
		return false
	}
	t.controller.LoadRecords(records)
	t.mustReadRecords = false
	t.daemon.log.Info("groups: records read", zap.Int("groups", len(records)), zap.Int64("table_version", result.Version))
	return true
}

// readRecentModels reads which models servers loaded most recently, and returns whether the store
// has answered.
func (t *term) readRecentModels(ctx context.Context) bool {
	result, err := t.daemon.store.Read(ctx, assembly.RecentModelsTable)
	if err != nil {
		t.daemon.recordStoreError(assembly.RecentModelsTable)(err)
		return false
	}
	models := map[string]string{}
	for _, row := range result.Rows {
		recent, decodeErr := assembly.DecodeRecentModels(row.Value)
		if decodeErr != nil {
			t.daemon.recordRejectedRow(assembly.RecentModelsTable, row, decodeErr)
			continue
		}
		maps.Copy(models, recent.Models)
	}
	t.daemon.updateView(func(view *gateway.View) {
		view.Fleet = view.Fleet.WithLastModels(models)
	})
	return true
}

// commit writes and removes records, and returns the revision of the commit.
func (t *term) commit(ctx context.Context, plan assembly.Plan) (rowstore.Revision, error) {
	var writes, removes []rowstore.Row
	for _, record := range plan.NewRecords {
		value, err := record.Encode()
		if err != nil {
			return rowstore.Revision{}, err
		}
		writes = append(writes, rowstore.Row{
			Table: assembly.Table,
			Key:   record.Name,
			Value: value,
		})
	}
	for _, recent := range lastPerDomain(plan.RecentModels) {
		value, err := recent.Encode()
		if err != nil {
			return rowstore.Revision{}, err
		}
		writes = append(writes, rowstore.Row{
			Table: assembly.RecentModelsTable,
			Key:   recent.Domain,
			Value: value,
		})
	}
	for _, name := range plan.RemovedGroups {
		removes = append(removes, rowstore.Row{
			Table: assembly.Table,
			Key:   name,
		})
	}
	reportKeys := slices.Concat(plan.ClearedSuspicions, plan.RemovedGroups)
	slices.Sort(reportKeys)
	// A group may be both cleared and removed while the store is slow.
	for _, name := range slices.Compact(reportKeys) {
		removes = append(removes, rowstore.Row{
			Table: reportTable,
			Key:   name,
		})
	}
	return t.lease.Commit(ctx, writes, removes)
}

// lastPerDomain returns the last entry of each domain.
func lastPerDomain(models []assembly.RecentModels) []assembly.RecentModels {
	var last []assembly.RecentModels
	seen := map[string]bool{}
	for _, recent := range slices.Backward(models) {
		if !seen[recent.Domain] {
			seen[recent.Domain] = true
			last = append(last, recent)
		}
	}
	return last
}
