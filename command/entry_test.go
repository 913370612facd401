package command_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/command"
	"headcourse/lab/standin"
)

// Guards against a daemon that does not stop, and is killed with its requests, since SIGTERM came right after two SIGHUPs.
func TestStopSignalBehindReloadsIsNotLost(t *testing.T) {
	platform, err := standin.Start(t.TempDir(), standin.Size{})
	qt.Assert(t, err, qt.IsNil)
	defer platform.Close()
	path, err := platform.WriteSettings("front-a", 0, 0, 0)
	qt.Assert(t, err, qt.IsNil)
	content, err := os.ReadFile(path)
	qt.Assert(t, err, qt.IsNil)
	const fileMode = 0o600
	var out bytes.Buffer
	ended := make(chan error, 1)
	go func() {
		entry := command.EntryCommand{
			Settings: path,
			LogLevel: "error",
		}
		ended <- entry.Run(&command.Streams{
			In:  strings.NewReader(""),
			Out: &out,
			Err: &out,
		})
	}()
	time.Sleep(500 * time.Millisecond)

	// The daemon reads its settings from a pipe, which holds it there until they are written.
	qt.Assert(t, os.Remove(path), qt.IsNil)
	qt.Assert(t, syscall.Mkfifo(path, fileMode), qt.IsNil)
	signalSelf(t, syscall.SIGHUP)
	pipe, err := os.OpenFile(path, os.O_WRONLY, 0)
	qt.Assert(t, err, qt.IsNil)
	signalSelf(t, syscall.SIGHUP)
	signalSelf(t, syscall.SIGTERM)
	replacement := filepath.Join(t.TempDir(), "settings.yaml")
	qt.Assert(t, os.WriteFile(replacement, content, fileMode), qt.IsNil)
	qt.Assert(t, os.Rename(replacement, path), qt.IsNil)
	_, err = pipe.Write(content)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, pipe.Close(), qt.IsNil)

	select {
	case err = <-ended:
		qt.Assert(t, err, qt.IsNil)
	case <-time.After(10 * time.Second):
		// The daemon must not outlive the test.
		signalSelf(t, syscall.SIGTERM)
		<-ended
		t.Fatal("the daemon did not stop")
	}
}

// signalSelf sends a signal to this process and gives it time to arrive.
func signalSelf(t *testing.T, signal syscall.Signal) {
	t.Helper()
	qt.Assert(t, syscall.Kill(os.Getpid(), signal), qt.IsNil)
	time.Sleep(100 * time.Millisecond)
}
