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

// Times of reading the records of all groups.
const (
	// readTime bounds one try.
	readTime = time.Second
	// readAgain is the time between two tries: the store may turn the leader away alone.
	readAgain = 400 * time.Millisecond
)

// commitRows is how many rows one change may write or remove beside the lease,
// which takes two entries: its condition and its rewrite.
const commitRows = platform.MaxEntries - 2

// commitPending starts to commit what waits, one change at a time and no more than
// a transaction holds. Orders and probes go on meanwhile: the store may be slow.
func (t *term) commitPending(ctx context.Context) {
	if t.isCommitting || !t.pending.HasChanges() {
		return
	}
	plan, rest := t.pending.Cut(commitRows)
	t.pending = rest
	t.isCommitting = true
	go func() {
		at, err := t.commit(ctx, plan)
		t.tell(ctx, func() {
			t.isCommitting = false
			t.committed(plan, at, err)
		})
	}()
}

// committed takes what became of a change.
func (t *term) committed(plan assembly.Plan, at rowstore.Revision, err error) {
	if err != nil {
		t.mustLoad = true
		t.pending = assembly.Plan{}
		t.daemon.log.Warn("groups: change not confirmed, records are read again", logline.Err(err))
		return
	}
	t.controller.Created(plan.Create, at.Version)
	t.controller.Removed(plan.Remove)
	for _, record := range plan.Create {
		epoch := record.WithVersion(at.Version).Epoch
		t.daemon.log.Info("groups: created", zap.String("group", record.Name), zap.Int64("epoch", epoch), zap.String("model", record.Model), zap.Strings("members", record.Members))
	}
}

// load reads the records of all groups.
func (t *term) load(ctx context.Context) bool {
	if time.Since(t.triedToLoad) < readAgain {
		return false
	}
	t.triedToLoad = time.Now()
	ctx, cancel := context.WithTimeout(ctx, readTime)
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
			t.daemon.recordBadRow(assembly.Table, row, decodeErr)
			continue
		}
		records = append(records, record)
	}
	if !t.loadRecent(ctx) {
		return false
	}
	if result.Era != t.lease.Era() {
		return false
	}
	t.controller.Load(records)
	t.mustLoad = false
	t.daemon.log.Info("groups: records read", zap.Int("groups", len(records)), zap.Int64("table_version", result.Version))
	return true
}

// loadRecent reads which models servers loaded last.
func (t *term) loadRecent(ctx context.Context) bool {
	result, err := t.daemon.store.Read(ctx, assembly.RecentTable)
	if err != nil {
		t.daemon.recordStoreError(assembly.RecentTable)(err)
		return false
	}
	models := map[string]string{}
	for _, row := range result.Rows {
		recent, decodeErr := assembly.DecodeRecent(row.Value)
		if decodeErr != nil {
			t.daemon.recordBadRow(assembly.RecentTable, row, decodeErr)
			continue
		}
		maps.Copy(models, recent.Models)
	}
	t.daemon.change(func(view *gateway.View) {
		view.Fleet = view.Fleet.WithRecent(models)
	})
	return true
}

// commit writes and removes records, and returns the revision of those written.
func (t *term) commit(ctx context.Context, plan assembly.Plan) (rowstore.Revision, error) {
	var writes, removes []rowstore.Row
	for _, record := range plan.Create {
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
	for _, recent := range lastOfEach(plan.Recent) {
		value, err := recent.Encode()
		if err != nil {
			return rowstore.Revision{}, err
		}
		writes = append(writes, rowstore.Row{
			Table: assembly.RecentTable,
			Key:   recent.Domain,
			Value: value,
		})
	}
	for _, name := range plan.Remove {
		removes = append(removes, rowstore.Row{
			Table: assembly.Table,
			Key:   name,
		})
	}
	reported := slices.Concat(plan.Cleared, plan.Remove)
	slices.Sort(reported)
	// A group may be cleared and removed while the store is slow.
	for _, name := range slices.Compact(reported) {
		removes = append(removes, rowstore.Row{
			Table: reportTable,
			Key:   name,
		})
	}
	return t.lease.Commit(ctx, writes, removes)
}

// lastOfEach returns the last of each domain's.
func lastOfEach(all []assembly.Recent) []assembly.Recent {
	var last []assembly.Recent
	seen := map[string]bool{}
	for _, recent := range slices.Backward(all) {
		if !seen[recent.Domain] {
			seen[recent.Domain] = true
			last = append(last, recent)
		}
	}
	return last
}
