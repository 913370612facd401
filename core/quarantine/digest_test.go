package quarantine_test

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"

	"headcourse/core/quarantine"
)

func TestDigestTellsRequestsApartByPathOrganisationAndBody(t *testing.T) {
	one := quarantine.DigestOf("/a/", "cuenca", []byte("body"))
	qt.Assert(t, one, qt.Equals, quarantine.DigestOf("/a/", "cuenca", []byte("body")))
	for _, other := range []quarantine.Digest{
		quarantine.DigestOf("/b/", "cuenca", []byte("body")),
		quarantine.DigestOf("/a/", "loja", []byte("body")),
		quarantine.DigestOf("/a/", "cuenca", []byte("other")),
		// Parts do not run into one another.
		quarantine.DigestOf("/a/cuenca", "", []byte("body")),
		quarantine.DigestOf("/a/", "cuencab", []byte("ody")),
	} {
		qt.Assert(t, other, qt.Not(qt.Equals), one)
	}
}

func TestDigestIsReadAsItIsWritten(t *testing.T) {
	digest := quarantine.DigestOf("/a/", "cuenca", nil)
	read, err := quarantine.ParseDigest(digest.String())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, read, qt.Equals, digest)
	for _, bad := range []string{"", "zz", digest.String() + "00", "0x12"} {
		_, err = quarantine.ParseDigest(bad)
		qt.Assert(t, err, qt.ErrorMatches, ".* is no digest of a request")
	}
}

func BenchmarkDigest(b *testing.B) {
	const size = 4 << 10
	body := bytes.Repeat([]byte("x"), size)
	for b.Loop() {
		quarantine.DigestOf("/a/", "cuenca", body)
	}
}
