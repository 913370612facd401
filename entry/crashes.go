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

// Ends of servers under requests are reported to all daemons by rows of reportTable, one for each
// digest and start. These are written without conditions and mean the same whoever writes
// them and how often, so nothing is lost where daemons write together or an answer is lost.
// A trial of such a request is a row for its digest, written only where the trial before is
// as this daemon knows it: so one daemon begins it. The table is followed in any case: while
// no server ends, all this costs no call.

// tryTime bounds agreeing on a trial, for which a client waits.
const tryTime = 300 * time.Millisecond

// Beginnings of keys of reportTable; names of groups have no slash.
const (
	endPrefix   = "end/"
	trialPrefix = "trial/"
)

// endReport is the value of an end's row, trialReport that of a trial's. By is the daemon, for
// whoever looks.
type endReport struct {
	By    string `json:"by"`
	Trial int    `json:"trial,omitempty"`
}

type trialReport struct {
	By     string `json:"by"`
	Number int    `json:"number"`
}

// endKey returns the key of an end's row.
func endKey(digest quarantine.Digest, start string) string {
	return endPrefix + digest.String() + "/" + start
}

// trialKey returns the key of the row of a request's trials.
func trialKey(digest quarantine.Digest) string {
	return trialPrefix + digest.String()
}

// parseEnd reads the key of an end's row.
func parseEnd(key string) (quarantine.End, error) {
	digest, start, ok := strings.Cut(strings.TrimPrefix(key, endPrefix), "/")
	if !ok || start == "" {
		return quarantine.End{}, errors.Errorf("%.200q names no end of a server", key)
	}
	parsed, err := quarantine.ParseDigest(digest)
	return quarantine.End{
		Digest: parsed,
		Start:  start,
	}, err
}

// Ended reports to all daemons that a server ended under a request. It never waits.
func (d *Daemon) Ended(end quarantine.End) {
	encoded, err := json.Marshal(endReport{
		By:    d.settings.Name,
		Trial: end.Trial,
	})
	if err != nil {
		d.log.Error("requests: end of a server not reported", logline.Err(err))
		return
	}
	d.queueReport(report{
		key:   endKey(end.Digest, end.Start),
		value: encoded,
	})
}

// Cleared has what the store tells of a request removed. It never waits.
func (d *Daemon) Cleared(cleared quarantine.Cleared) {
	for _, start := range cleared.Starts {
		d.queueReport(report{
			key: endKey(cleared.Digest, start),
		})
	}
	if cleared.HasTrial {
		d.queueReport(report{
			key: trialKey(cleared.Digest),
		})
	}
}

// MayTry begins a trial, unless another daemon has begun it or the store does not answer.
func (d *Daemon) MayTry(trial quarantine.Trial) bool {
	encoded, err := json.Marshal(trialReport{
		By:     d.settings.Name,
		Number: trial.Number,
	})
	if err != nil {
		d.log.Error("requests: trial not begun", logline.Err(err))
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), tryTime)
	defer cancel()
	row := rowstore.Row{
		Table: reportTable,
		Key:   trialKey(trial.Digest),
		Value: encoded,
	}
	era := trial.After.Era
	if trial.After.Version == 0 {
		era = d.reportsEra.Load()
	}
	at, err := d.store.Commit(ctx, rowstore.Transaction{
		Era: era,
		Conditions: []rowstore.Condition{
			{
				Table:   row.Table,
				Key:     row.Key,
				Version: trial.After.Version,
			},
		},
		Writes: []rowstore.Row{row},
	})
	var conflict *rowstore.Conflict
	switch {
	case err == nil:
		if !d.ledger.Tried(trial, at) {
			// It was answered whole meanwhile: there is nothing left to try.
			d.Cleared(quarantine.Cleared{
				Digest:   trial.Digest,
				HasTrial: true,
			})
		}
		return true
	case errors.As(err, &conflict):
		d.takeReports(conflict.Rows, rowstore.Revision{
			Era: era,
		}, time.Time{})
	default:
		d.recordStoreError(reportTable)(err)
	}
	return false
}

// takeEnd takes the row of an end.
func (d *Daemon) takeEnd(row rowstore.Row) {
	end, err := parseEnd(row.Key)
	if err != nil {
		d.recordBadRow(reportTable, row, err)
		return
	}
	if row.Deleted {
		d.ledger.Removed(end)
		return
	}
	var reported endReport
	if err = json.Unmarshal(row.Value, &reported); err != nil {
		d.recordBadRow(reportTable, row, errors.Wrap(err, "decode end"))
		return
	}
	end.Trial = reported.Trial
	if !d.ledger.Told(end) {
		d.Cleared(quarantine.Cleared{
			Digest: end.Digest,
			Starts: []string{end.Start},
		})
	}
}

// takeTrial takes the row of a request's trials, in an era.
func (d *Daemon) takeTrial(row rowstore.Row, era int64) {
	digest, err := quarantine.ParseDigest(strings.TrimPrefix(row.Key, trialPrefix))
	if err != nil {
		d.recordBadRow(reportTable, row, err)
		return
	}
	if row.Deleted {
		d.ledger.RemovedTrial(digest)
		return
	}
	var reported trialReport
	if err = json.Unmarshal(row.Value, &reported); err != nil {
		d.recordBadRow(reportTable, row, errors.Wrap(err, "decode trial"))
		return
	}
	isTaken := d.ledger.Tried(quarantine.Trial{
		Digest: digest,
		Number: reported.Number,
	}, rowstore.Revision{
		Era:     era,
		Version: row.Version,
	})
	if !isTaken {
		d.Cleared(quarantine.Cleared{
			Digest:   digest,
			HasTrial: true,
		})
	}
}

// keepEnds forgets what was reported and is not among the rows of the whole table.
func (d *Daemon) keepEnds(rows []rowstore.Row) {
	var ends []quarantine.End
	var trials []quarantine.Digest
	for _, row := range rows {
		if end, err := parseEnd(row.Key); isEnd(row) && err == nil {
			ends = append(ends, end)
		}
		if digest, err := quarantine.ParseDigest(strings.TrimPrefix(row.Key, trialPrefix)); isTrial(row) && err == nil {
			trials = append(trials, digest)
		}
	}
	d.ledger.Keep(ends, trials)
}

// isEnd tells whether a row of reportTable is of an end, isTrial whether it is of a trial.
func isEnd(row rowstore.Row) bool {
	return strings.HasPrefix(row.Key, endPrefix)
}

func isTrial(row rowstore.Row) bool {
	return strings.HasPrefix(row.Key, trialPrefix)
}

// sweepEnds forgets ends that were long ago. The leader removes their rows.
func (d *Daemon) sweepEnds() {
	old := d.ledger.Sweep()
	if !d.isLeading.Load() {
		return
	}
	for _, cleared := range old {
		d.Cleared(cleared)
	}
}
