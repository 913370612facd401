package command

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"go.uber.org/zap/zapcore"

	"headcourse/daemon"
	"headcourse/io/logline"
)

// ServeCommand runs a daemon until SIGTERM or SIGINT.
type ServeCommand struct {
	daemon.Settings `embed:""`
}

// Run runs the daemon. On a signal the daemon reports unready at once and waits
// for answers in flight. Run returns an error if answers were cut off.
func (s *ServeCommand) Run(streams *Streams) error {
	if err := s.Check(); err != nil {
		return usageError{
			cause: err,
		}
	}
	log, err := logline.Logger(s.LogLevel, zapcore.Lock(zapcore.AddSync(streams.Err)))
	if err != nil {
		return usageError{
			cause: errors.Wrap(err, "--log-level (HEADCOURSE_LOG_LEVEL)"),
		}
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	node, err := daemon.StartNode(s.Settings, log)
	if err != nil {
		return err
	}
	<-signals
	return node.Stop()
}
