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
	"headcourse/io/tcp"
	"headcourse/platform"
)

// EntryCommand runs a daemon on an entry VM of the platform until SIGTERM or
// SIGINT.
type EntryCommand struct {
	Settings string `name:"settings" help:"Path of the settings file. Default: the path that the platform passes to the process."`
	Metrics  int    `name:"metrics-port" env:"HEADCOURSE_METRICS_PORT" default:"0" help:"Port on which metrics are served, on the VM's address; 0: none."`
	LogLevel string `name:"log-level" env:"HEADCOURSE_LOG_LEVEL" default:"info" enum:"debug,info,warn,error" help:"Minimum log level: ${enum}."`
	// Dialer connects to backend servers directly; nil means by the operating system.
	Dialer tcp.Dialer `kong:"-"`
}

const (
	// settingsPollInterval is the interval at which the settings file is checked for
	// changes, because it may change without a SIGHUP.
	settingsPollInterval = time.Second
	// logFlushTimeout bounds the time to write pending log lines at exit.
	logFlushTimeout = 200 * time.Millisecond
)

// Run starts the daemon, passes changed settings to it until a signal ends the
// command, and stops it.
func (e *EntryCommand) Run(streams *Streams) error {
	// A signal that finds its channel full is dropped, so those to stop have one of their own.
	stops, reloads := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reloads, syscall.SIGHUP)
	defer signal.Stop(stops)
	defer signal.Stop(reloads)
	path := e.Settings
	if path == "" {
		path = platform.SettingsPath()
	}
	logWriter := logline.New(streams.Out)
	defer logWriter.Close(logFlushTimeout)
	log, err := logline.Logger(e.LogLevel, logWriter)
	if err != nil {
		return usageError{
			cause: err,
		}
	}
	initial, err := platform.ReadSettings(path)
	if err != nil {
		return usageError{
			cause: err,
		}
	}
	dialer := e.Dialer
	if dialer == nil {
		dialer = tcp.DirectDialer{}
	}
	daemon, err := entry.StartWithDialer(initial.WithMetricsPort(e.Metrics), log, dialer)
	if err != nil {
		return err
	}
	e.waitForStop(stops, reloads, path, initial, daemon, log)
	return daemon.Stop()
}

// waitForStop returns on SIGTERM or SIGINT. Until then it reads the settings file
// on SIGHUP and after each change of the file, and passes settings that differ
// from the last ones to the daemon.
func (e *EntryCommand) waitForStop(stops, reloads <-chan os.Signal, path string, current settings.Settings, daemon *entry.Daemon, log *zap.Logger) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	modifiedAt := modificationTime(path)
	for {
		select {
		case <-stops:
			return
		case <-reloads:
		case <-ticker.C:
			latestModifiedAt := modificationTime(path)
			if latestModifiedAt.Equal(modifiedAt) {
				continue
			}
			modifiedAt = latestModifiedAt
		}
		next, err := platform.ReadSettings(path)
		if err != nil {
			log.Error("daemon: settings not applied, the last valid settings stay in force", logline.ErrorField(err))
			continue
		}
		if next != current {
			current = next
			daemon.Reload(next)
		}
	}
}

// modificationTime returns the modification time of a file, or the zero time if it
// cannot be read.
func modificationTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
