package quarantine

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/pkg/errors"
)

// Digest names what a request asks, whoever sends it on and however often: its path,
// its organisation and its body, but not its id. It tells none of them: it is a part of
// a one-way hash.
type Digest [16]byte

// DigestOf returns the digest of a request. It costs less than passing on one event of an answer
// (BenchmarkDigest).
func DigestOf(target, organisation string, body []byte) Digest {
	hash := sha256.New()
	// A hash never fails to be written.
	_, _ = hash.Write([]byte(target + "\x00" + organisation + "\x00"))
	_, _ = hash.Write(body)
	var digest Digest
	copy(digest[:], hash.Sum(nil))
	return digest
}

// String returns the digest as it stands in logs and keys.
func (d Digest) String() string {
	return hex.EncodeToString(d[:])
}

// ParseDigest reads what String wrote.
func ParseDigest(text string) (Digest, error) {
	var digest Digest
	decoded, err := hex.DecodeString(text)
	if err != nil || len(decoded) != len(digest) {
		return Digest{}, errors.Errorf("%.64q is no digest of a request", text)
	}
	copy(digest[:], decoded)
	return digest, nil
}
