package quarantine_test

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"

	"headcourse/core/quarantine"
)

func TestDigestDependsOnPathOrganisationAndBody(t *testing.T) {
	digest := quarantine.DigestOf("/a/", "cuenca", []byte("body"))
	qt.Assert(t, digest, qt.Equals, quarantine.DigestOf("/a/", "cuenca", []byte("body")))
	for _, different := range []quarantine.Digest{
		quarantine.DigestOf("/b/", "cuenca", []byte("body")),
		quarantine.DigestOf("/a/", "loja", []byte("body")),
		quarantine.DigestOf("/a/", "cuenca", []byte("other")),
		// Adjacent fields must not run into one another.
		quarantine.DigestOf("/a/cuenca", "", []byte("body")),
		quarantine.DigestOf("/a/", "cuencab", []byte("ody")),
	} {
		qt.Assert(t, different, qt.Not(qt.Equals), digest)
	}
}

func TestParseDigestReadsWhatStringWrites(t *testing.T) {
	digest := quarantine.DigestOf("/a/", "cuenca", nil)
	read, err := quarantine.ParseDigest(digest.String())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, read, qt.Equals, digest)
	for _, invalid := range []string{"", "zz", digest.String() + "00", "0x12"} {
		_, err = quarantine.ParseDigest(invalid)
		qt.Assert(t, err, qt.ErrorMatches, ".* is not a digest of a request")
	}
}

func BenchmarkDigest(b *testing.B) {
	const size = 4 << 10
	body := bytes.Repeat([]byte("x"), size)
	for b.Loop() {
		quarantine.DigestOf("/a/", "cuenca", body)
	}
}
