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
// for each digest of a request and start of a server. These rows are written without conditions
// and are idempotent, so concurrent writers and lost answers lose nothing. A trial of a
// suspected request is a row for its digest. It is written only if the row of the previous
// trial still has the version that this daemon has read, so only one daemon starts a trial. The
// table is watched in any case: as long as no server crashes, this costs no further calls.

// trialTimeout bounds the claim of a trial, during which a client waits.
const trialTimeout = 300 * time.Millisecond

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

// RemoveCrashReports removes a request's crash and trial rows from the store. It does not block.
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

// ClaimTrial claims a trial. It returns false if another daemon has claimed it or the store does
// not answer.
func (d *Daemon) ClaimTrial(trial quarantine.Trial) bool {
	encoded, err := json.Marshal(trialReport{
		StartedBy: d.settings.Name,
		Number:    trial.Number,
	})
	if err != nil {
		d.log.Error("requests: trial not started", logline.ErrorField(err))
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), trialTimeout)
	defer cancel()
	row := rowstore.Row{
		Table: reportTable,
		Key:   trialKey(trial.Digest),
		Value: encoded,
	}
	era := trial.PreviousRevision.Era
	if trial.PreviousRevision.Version == 0 {
		era = d.reportsEra.Load()
	}
	revision, err := d.store.Commit(ctx, rowstore.Transaction{
		Era: era,
		Conditions: []rowstore.Condition{
			{
				Table:   row.Table,
				Key:     row.Key,
				Version: trial.PreviousRevision.Version,
			},
		},
		Writes: []rowstore.Row{row},
	})
	var conflict *rowstore.Conflict
	switch {
	case err == nil:
		if !d.crashLedger.ApplyTrial(trial, revision) {
			// The request was answered completely in the meantime, so no trial is needed.
			d.RemoveCrashReports(quarantine.StoredRows{
				Digest:   trial.Digest,
				HasTrial: true,
			})
		}
		return true
	case errors.As(err, &conflict):
		d.applyReports(conflict.Rows, rowstore.Revision{
			Era: era,
		}, time.Time{})
	default:
		d.recordStoreError(reportTable)(err)
	}
	return false
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
	if !d.crashLedger.ApplyCrash(crash) {
		d.RemoveCrashReports(quarantine.StoredRows{
			Digest: crash.Digest,
			Starts: []string{crash.Start},
		})
	}
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
