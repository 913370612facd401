package quarantine

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/pkg/errors"
)

// Digest identifies the content of a request: its path, its organisation and its body, but not
// its ID. It is the same for every repeat of the request at any daemon. It is a prefix of a
// one-way hash, so it reveals none of the content.
type Digest [16]byte

// DigestOf returns the digest of a request. It costs less than passing on one event of an
// answer (BenchmarkDigest).
func DigestOf(path, organisation string, body []byte) Digest {
	hash := sha256.New()
	// Writing to a hash never fails.
	_, _ = hash.Write([]byte(path + "\x00" + organisation + "\x00"))
	_, _ = hash.Write(body)
	var digest Digest
	copy(digest[:], hash.Sum(nil))
	return digest
}

// String returns the digest in the form used in logs and row keys.
func (d Digest) String() string {
	return hex.EncodeToString(d[:])
}

// ParseDigest parses the result of String.
func ParseDigest(text string) (Digest, error) {
	var digest Digest
	decoded, err := hex.DecodeString(text)
	if err != nil || len(decoded) != len(digest) {
		return Digest{}, errors.Errorf("%.64q is not a digest of a request", text)
	}
	copy(digest[:], decoded)
	return digest, nil
}
