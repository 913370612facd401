package command

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"strings"

	"github.com/pkg/errors"
)

// HashKeyCommand turns a key into the hash that declarations hold.
type HashKeyCommand struct{}

// minKey is the least length of a key.
const minKey = 12

// Run reads the key from standard input, so that it stands in no history.
func (h *HashKeyCommand) Run(streams *Streams) error {
	read, err := io.ReadAll(streams.In)
	if err != nil {
		return errors.Wrap(err, "read key")
	}
	key := strings.TrimRight(string(read), "\r\n")
	if len(key) < minKey {
		return usageError{
			cause: errors.Errorf("key: must have at least %d characters", minKey),
		}
	}
	sum := sha256.Sum256([]byte(key))
	_, err = fmt.Fprintln(streams.Out, hex.EncodeToString(sum[:]))
	return errors.Wrap(err, "write output")
}
