package command

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"strings"

	"github.com/pkg/errors"
)

// HashKeyCommand prints the SHA-256 hash of a key, which declarations hold in
// place of the key.
type HashKeyCommand struct{}

// minKeyLength is the minimum length of a key in bytes.
const minKeyLength = 12

// Run reads the key from standard input, so that it does not appear in the shell
// history.
func (h *HashKeyCommand) Run(streams *Streams) error {
	input, err := io.ReadAll(streams.In)
	if err != nil {
		return errors.Wrap(err, "read key")
	}
	key := strings.TrimRight(string(input), "\r\n")
	if len(key) < minKeyLength {
		return usageError{
			cause: errors.Errorf("key: must have at least %d characters", minKeyLength),
		}
	}
	sum := sha256.Sum256([]byte(key))
	_, err = fmt.Fprintln(streams.Out, hex.EncodeToString(sum[:]))
	return errors.Wrap(err, "write output")
}
