package quarantine_test

import (
	"testing"

	"headcourse/core/quarantine"
)

// FuzzParseDigest looks for texts that are read as a digest and written as another.
func FuzzParseDigest(f *testing.F) {
	f.Add("0123456789abcdef0123456789abcdef")
	f.Add("")
	f.Fuzz(func(t *testing.T, text string) {
		digest, err := quarantine.ParseDigest(text)
		if err != nil {
			return
		}
		again, err := quarantine.ParseDigest(digest.String())
		if err != nil || again != digest {
			t.Fatalf("%q is read as %s", text, digest)
		}
	})
}
