package link

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// pollInterval is the interval at which Follow reads its file.
const pollInterval = 10 * time.Millisecond

// Follow sets the fault that a file names, again and again until ctx ends. A file that is missing or
// names no fault means NoFault.
func (l *Link) Follow(ctx context.Context, path string) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		fault := NoFault
		if content, err := os.ReadFile(path); err == nil {
			if named, parseErr := Parse(strings.TrimSpace(string(content))); parseErr == nil {
				fault = named
			}
		}
		if fault != l.currentFault() {
			l.SetFault(fault)
		}
	}
}

// Write writes the name of a fault to the file that Follow reads.
func Write(path string, fault Fault) error {
	const fileMode = 0o600
	temporary := filepath.Join(filepath.Dir(path), "."+filepath.Base(path))
	if err := os.WriteFile(temporary, []byte(fault.String()), fileMode); err != nil {
		return errors.Wrap(err, "write fault of a link")
	}
	return errors.Wrap(os.Rename(temporary, path), "write fault of a link")
}
