package ratelimit_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"headcourse/core/ratelimit"
)

func TestEncodedLimitDecodesToTheSame(t *testing.T) {
	for _, perSecond := range testedLimits {
		encoded, err := ratelimit.NewLimit(perSecond).Encode("front-1")
		qt.Assert(t, err, qt.IsNil)
		decoded, err := ratelimit.Decode(encoded)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, decoded, qt.Equals, ratelimit.NewLimit(perSecond))
	}
}

func TestDecodeRejectsReportWithoutLimit(t *testing.T) {
	for value, why := range map[string]string{
		`{}`:                   "decode limit: per_second is missing",
		`null`:                 "decode limit: per_second is missing",
		`{"per_second":-1}`:    "decode limit: per_second -1 is below 0",
		`{"per_second":"few"}`: "decode limit: json: .*",
		"\xff":                 "decode limit: invalid character .*",
	} {
		_, err := ratelimit.Decode([]byte(value))
		qt.Check(t, err, qt.ErrorMatches, why)
	}
}

// FuzzDecode looks for reports that are accepted without a valid limit.
func FuzzDecode(f *testing.F) {
	for _, seed := range []string{
		`{"by":"front-1","per_second":1.7}`,
		`{"per_second":1e308}`,
		`{"per_second":[1]}`,
		`{}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		limit, err := ratelimit.Decode(value)
		if err != nil {
			return
		}
		if !limit.IsSet || !(limit.PerSecond >= 0) || limit.PerSecond > ratelimit.MaxPerSecond {
			t.Fatalf("%q decodes to %+v", value, limit)
		}
	})
}
