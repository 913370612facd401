package quarantine

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/pkg/errors"
)

// Kind is what a digest identifies.
type Kind int

// A content digest identifies one request and its repeats, a part digest a part of a prompt that
// many requests may share.
const (
	Content Kind = iota
	Part
)

// partPrefix marks the text of a part's digest.
const partPrefix = "part-"

// hashBytes is how much of a hash a digest has.
const hashBytes = 16

// Digest identifies what requests have in common: their whole content, or one part of their
// prompts. Its first byte is its kind, the others are a prefix of a one-way hash, so it reveals
// none of the content.
type Digest [1 + hashBytes]byte

// DigestOf returns the digest of a request's content: its path, its organisation and its body, but
// not its ID. It is the same for every repeat of the request at any daemon. It costs less than
// passing on one event of an answer (BenchmarkDigest).
func DigestOf(path, organisation string, body []byte) Digest {
	hash := sha256.New()
	// Writing to a hash never fails.
	_, _ = hash.Write([]byte(path + "\x00" + organisation + "\x00"))
	_, _ = hash.Write(body)
	return newDigest(Content, hash.Sum(nil))
}

// Engine is what runs requests. A part that crashes one engine may be harmless to another.
type Engine struct {
	Service string
	Model   string
	// Release identifies the versions of the program and of the weights.
	Release string
}

// PartDigest returns the digest of a part of a prompt at an engine. It is the same for all
// organisations.
func PartDigest(engine Engine, part string) Digest {
	hash := sha256.New()
	// Writing to a hash never fails.
	_, _ = hash.Write([]byte(strings.Join([]string{engine.Service, engine.Model, engine.Release, part}, "\x00")))
	return newDigest(Part, hash.Sum(nil))
}

// newDigest returns a digest with the first bytes of a hash.
func newDigest(kind Kind, hash []byte) Digest {
	digest := Digest{byte(kind)}
	copy(digest[1:], hash)
	return digest
}

// Kind returns what the digest identifies.
func (d Digest) Kind() Kind {
	return Kind(d[0])
}

// String returns the digest in the form used in logs and row keys.
func (d Digest) String() string {
	text := hex.EncodeToString(d[1:])
	if d.Kind() == Part {
		return partPrefix + text
	}
	return text
}

// ParseDigest parses the result of String.
func ParseDigest(text string) (Digest, error) {
	kind := Content
	encoded, isPart := strings.CutPrefix(text, partPrefix)
	if isPart {
		kind = Part
	}
	decoded, err := hex.DecodeString(encoded)
	if err != nil || len(decoded) != hashBytes {
		return Digest{}, errors.Errorf("%.64q is not a digest", text)
	}
	return newDigest(kind, decoded), nil
}
