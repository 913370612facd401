package command

import (
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"

	"headcourse/core/settings"
	"headcourse/entry"
	"headcourse/io/logline"
	"headcourse/platform"
)

// EntryCommand runs a daemon on an entry VM of the platform, until SIGTERM.
type EntryCommand struct {
	Settings string `name:"settings" help:"Path of the settings file. Default: where the platform says."`
	Metrics  int    `name:"metrics-port" env:"HEADCOURSE_METRICS_PORT" default:"0" help:"Port on which metrics are served, on the VM's address; 0: none."`
	LogLevel string `name:"log-level" env:"HEADCOURSE_LOG_LEVEL" default:"info" enum:"debug,info,warn,error" help:"Least level that is logged: ${enum}."`
}

// Times of the command.
const (
	// lookEvery is the time between two looks at the settings file, which may
	// change without a signal.
	lookEvery = time.Second
	// flushTime bounds writing the last log lines.
	flushTime = 200 * time.Millisecond
)

// Run runs the daemon.
func (e *EntryCommand) Run(streams *Streams) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	path := e.Settings
	if path == "" {
		path = platform.SettingsPath()
	}
	lines := logline.New(streams.Out)
	defer lines.Close(flushTime)
	log, err := logline.Logger(e.LogLevel, lines)
	if err != nil {
		return usageError{
			cause: err,
		}
	}
	known, err := platform.ReadSettings(path)
	if err != nil {
		return usageError{
			cause: err,
		}
	}
	daemon, err := entry.Start(known.WithMetricsPort(e.Metrics), log)
	if err != nil {
		return err
	}
	e.wait(signals, path, known, daemon, log)
	return daemon.Stop()
}

// wait returns when the daemon is to stop, and has it take changed settings
// until then.
func (e *EntryCommand) wait(signals <-chan os.Signal, path string, known settings.Settings, daemon *entry.Daemon, log *zap.Logger) {
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	changedAt := changeTime(path)
	for {
		select {
		case got := <-signals:
			if got != syscall.SIGHUP {
				return
			}
		case <-ticker.C:
			latest := changeTime(path)
			if latest.Equal(changedAt) {
				continue
			}
			changedAt = latest
		}
		next, err := platform.ReadSettings(path)
		if err != nil {
			log.Error("daemon: settings not taken, the last good ones stay in force", logline.Err(err))
			continue
		}
		if next != known {
			known = next
			daemon.Reload(next)
		}
	}
}

// changeTime returns when a file was last changed; zero if that is not known.
func changeTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
