package entry

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/pkg/errors"

	"headcourse/core/quarantine"
	"headcourse/core/rowstore"
	"headcourse/io/logline"
)

// Crashes of servers during a request are reported to all daemons by rows of reportTable, one
// for each digest of a request's content or of a part of its prompt, and start of a server. These
// rows are written without conditions
// and are idempotent, so concurrent writers and lost answers lose nothing. A trial of a
// suspected request is a row for its digest. It is written only if the row of the previous
// trial still has the version that this daemon has read, so only one daemon starts a trial. The
// table is watched in any case: as long as no server crashes, this costs no further calls.

// trialTimeout bounds the claim of a trial, during which a client waits.
const trialTimeout = 300 * time.Millisecond

// Bounds of the times in a report. Reports wait for an answer for about a second.
const (
	maxReportAgeMs = 10_000
	maxRequestMs   = 3_600_000
)

// Prefixes of keys of reportTable. Group names contain no slash.
const (
	crashPrefix = "end/"
	trialPrefix = "trial/"
)

// crashReport is the value of a crash row, trialReport that of a trial row. ReportedBy and
// StartedBy name the daemon, for diagnosis only.
type crashReport struct {
	ReportedBy string `json:"by"`
	Trial      int    `json:"trial,omitempty"`
	// DurationMs is the time from the send of the request to the crash.
	DurationMs int64 `json:"duration_ms,omitempty"`
	// AgeMs is the time from the crash to the report.
	AgeMs int64 `json:"age_ms,omitempty"`
}

type trialReport struct {
	StartedBy string `json:"by"`
	Number    int    `json:"number"`
}

// crashKey returns the key of a crash row.
func crashKey(digest quarantine.Digest, start string) string {
	return crashPrefix + digest.String() + "/" + start
}

// trialKey returns the key of the trial row of a request.
func trialKey(digest quarantine.Digest) string {
	return trialPrefix + digest.String()
}

// parseCrashKey decodes the key of a crash row.
func parseCrashKey(key string) (quarantine.Crash, error) {
	digest, start, ok := strings.Cut(strings.TrimPrefix(key, crashPrefix), "/")
	if !ok || start == "" {
		return quarantine.Crash{}, errors.Errorf("decode key %.200q: it names no start of a server", key)
	}
	parsed, err := quarantine.ParseDigest(digest)
	return quarantine.Crash{
		Digest: parsed,
		Start:  start,
	}, err
}

// ReportCrash reports to all daemons that a server crashed during a request. It does not block.
func (d *Daemon) ReportCrash(crash quarantine.Crash) {
	encoded, err := json.Marshal(crashReport{
		ReportedBy: d.settings.Name,
		Trial:      crash.Trial,
		DurationMs: crash.Duration.Milliseconds(),
		AgeMs:      crash.Age.Milliseconds(),
	})
	if err != nil {
		d.log.Error("requests: server crash not reported", logline.ErrorField(err))
		return
	}
	d.enqueueReport(report{
		key:   crashKey(crash.Digest, crash.Start),
		value: encoded,
	})
}

// RemoveCrashReports removes the crash and trial rows of a digest from the store. It does not block.
func (d *Daemon) RemoveCrashReports(cleared quarantine.StoredRows) {
	for _, start := range cleared.Starts {
		d.enqueueReport(report{
			key: crashKey(cleared.Digest, start),
		})
	}
	if cleared.HasTrial {
		d.enqueueReport(report{
			key: trialKey(cleared.Digest),
		})
	}
}

// ClaimTrials claims the trials of all suspect digests of a request, or none of them. It returns
// false if another daemon has claimed one or the store does not answer.
func (d *Daemon) ClaimTrials(trials []quarantine.Trial) bool {
	transaction := rowstore.Transaction{
		Era: d.reportsEra.Load(),
	}
	for _, trial := range trials {
		row, err := d.trialRow(trial.Digest, trial.Number)
		if err != nil {
			d.log.Error("requests: trial not started", logline.ErrorField(err))
			return false
		}
		if trial.PreviousRevision.Version != 0 {
			transaction.Era = trial.PreviousRevision.Era
		}
		transaction.Writes = append(transaction.Writes, row)
		transaction.Conditions = append(transaction.Conditions, rowstore.Condition{
			Table:   row.Table,
			Key:     row.Key,
			Version: trial.PreviousRevision.Version,
		})
	}
	ctx, cancel := context.WithTimeout(context.Background(), trialTimeout)
	defer cancel()
	revision, err := d.store.Commit(ctx, transaction)
	var conflict *rowstore.Conflict
	switch {
	case err == nil:
		d.applyClaimedTrials(trials, revision)
		return true
	case errors.As(err, &conflict):
		d.applyReports(conflict.Rows, rowstore.Revision{
			Era: transaction.Era,
		}, time.Time{})
	default:
		d.recordStoreError(reportTable)(err)
	}
	return false
}

// trialRow returns the row of a digest's trial.
func (d *Daemon) trialRow(digest quarantine.Digest, number int) (rowstore.Row, error) {
	encoded, err := json.Marshal(trialReport{
		StartedBy: d.settings.Name,
		Number:    number,
	})
	return rowstore.Row{
		Table: reportTable,
		Key:   trialKey(digest),
		Value: encoded,
	}, errors.Wrap(err, "encode trial")
}

// applyClaimedTrials applies trials that this daemon has claimed. A request that was answered
// completely in the meantime needs no trial.
func (d *Daemon) applyClaimedTrials(trials []quarantine.Trial, revision rowstore.Revision) {
	for _, trial := range trials {
		if d.crashLedger.ApplyTrial(trial, revision) {
			continue
		}
		d.RemoveCrashReports(quarantine.StoredRows{
			Digest:   trial.Digest,
			HasTrial: true,
		})
	}
}

// ReleaseTrials takes trials back whose request was not sent, so that they do not count. It does not
// block.
func (d *Daemon) ReleaseTrials(trials []quarantine.Trial) {
	for _, trial := range trials {
		row, err := d.trialRow(trial.Digest, trial.Number-1)
		if err != nil {
			d.log.Error("requests: trial not released", logline.ErrorField(err))
			continue
		}
		d.enqueueReport(report{
			key:   row.Key,
			value: row.Value,
		})
	}
}

// applyCrash applies a crash row.
func (d *Daemon) applyCrash(row rowstore.Row) {
	crash, err := parseCrashKey(row.Key)
	if err != nil {
		d.recordRejectedRow(reportTable, row, err)
		return
	}
	if row.Deleted {
		d.crashLedger.RemoveCrash(crash)
		return
	}
	var reported crashReport
	if err = json.Unmarshal(row.Value, &reported); err != nil {
		d.recordRejectedRow(reportTable, row, errors.Wrap(err, "decode crash report"))
		return
	}
	crash.Trial = reported.Trial
	crash.Duration = boundedMilliseconds(reported.DurationMs, maxRequestMs)
	crash.Age = boundedMilliseconds(reported.AgeMs, maxReportAgeMs)
	if !d.crashLedger.ApplyCrash(crash) {
		d.RemoveCrashReports(quarantine.StoredRows{
			Digest: crash.Digest,
			Starts: []string{crash.Start},
		})
	}
}

// boundedMilliseconds returns a duration from 0 to a maximum.
func boundedMilliseconds(value, maximum int64) time.Duration {
	return time.Duration(min(max(0, value), maximum)) * time.Millisecond
}

// applyTrial applies a trial row that was read in an era of the store.
func (d *Daemon) applyTrial(row rowstore.Row, era int64) {
	digest, err := quarantine.ParseDigest(strings.TrimPrefix(row.Key, trialPrefix))
	if err != nil {
		d.recordRejectedRow(reportTable, row, err)
		return
	}
	if row.Deleted {
		d.crashLedger.RemoveTrial(digest)
		return
	}
	var reported trialReport
	if err = json.Unmarshal(row.Value, &reported); err != nil {
		d.recordRejectedRow(reportTable, row, errors.Wrap(err, "decode trial report"))
		return
	}
	isAccepted := d.crashLedger.ApplyTrial(quarantine.Trial{
		Digest: digest,
		Number: reported.Number,
	}, rowstore.Revision{
		Era:     era,
		Version: row.Version,
	})
	if !isAccepted {
		d.RemoveCrashReports(quarantine.StoredRows{
			Digest:   digest,
			HasTrial: true,
		})
	}
}

// retainCrashes forgets the crashes and trials that were read from the table and that a snapshot
// of it does not contain.
func (d *Daemon) retainCrashes(rows []rowstore.Row) {
	var crashes []quarantine.Crash
	var trials []quarantine.Digest
	for _, row := range rows {
		if crash, err := parseCrashKey(row.Key); isCrashRow(row) && err == nil {
			crashes = append(crashes, crash)
		}
		if digest, err := quarantine.ParseDigest(strings.TrimPrefix(row.Key, trialPrefix)); isTrialRow(row) && err == nil {
			trials = append(trials, digest)
		}
	}
	d.crashLedger.Reconcile(crashes, trials)
}

// isCrashRow reports whether a row of reportTable reports a crash, isTrialRow whether it
// reports a trial.
func isCrashRow(row rowstore.Row) bool {
	return strings.HasPrefix(row.Key, crashPrefix)
}

func isTrialRow(row rowstore.Row) bool {
	return strings.HasPrefix(row.Key, trialPrefix)
}

// expireCrashes forgets old crashes. The leader also removes their rows.
func (d *Daemon) expireCrashes() {
	expired := d.crashLedger.Sweep()
	if !d.isLeader.Load() {
		return
	}
	for _, cleared := range expired {
		d.RemoveCrashReports(cleared)
	}
}
