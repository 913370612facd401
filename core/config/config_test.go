package config_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"headcourse/core/config"
)

// sampleConfig returns a configuration with nested prefixes.
func sampleConfig() *config.Config {
	return config.New(config.Config{
		Version: 3,
		Routes: []config.Route{
			{
				Name:   "short",
				Host:   "Board.example",
				Prefix: "/a/",
			},
			{
				Name:   "long",
				Host:   "board.example",
				Prefix: "/a/b/",
				Public: true,
			},
			{
				Name:   "elsewhere",
				Host:   "other.example",
				Prefix: "/a/b/c/",
			},
		},
		Organisations: []config.Organisation{
			{
				Name: "water",
				Keys: []string{"k1", "k2"},
			},
		},
	})
}

func TestRouteReturnsLongestPrefixOfHost(t *testing.T) {
	parsed := sampleConfig()
	qt.Assert(t, parsed.Route("board.example", "/a/b/c/d").Name, qt.Equals, "long")
	qt.Assert(t, parsed.Route("BOARD.example", "/a/x").Name, qt.Equals, "short")
	qt.Assert(t, parsed.Route("board.example", "/b/"), qt.IsNil)
	qt.Assert(t, parsed.Route("nobody.example", "/a/"), qt.IsNil)
}

func TestPublicRouteNeedsNoKey(t *testing.T) {
	parsed := sampleConfig()
	qt.Assert(t, parsed.Organisation("k2").Name, qt.Equals, "water")
	qt.Assert(t, parsed.Organisation("k3"), qt.IsNil)
	qt.Assert(t, parsed.NeedsKey(parsed.Route("board.example", "/a/x")), qt.IsTrue)
	qt.Assert(t, parsed.NeedsKey(parsed.Route("board.example", "/a/b/")), qt.IsFalse)
}

func TestNoKeyNeededWithoutOrganisations(t *testing.T) {
	parsed := config.New(config.Config{
		Routes: []config.Route{
			{
				Host:   "h",
				Prefix: "/",
			},
		},
	})
	qt.Assert(t, parsed.NeedsKey(parsed.Route("h", "/")), qt.IsFalse)
}

func TestOnlySafeAndResumableRequestsAreRepeatable(t *testing.T) {
	qt.Assert(t, (&config.Route{}).Repeatable(), qt.IsFalse)
	qt.Assert(t, (&config.Route{
		Kind: config.Safe,
	}).Repeatable(), qt.IsTrue)
	qt.Assert(t, (&config.Route{
		Kind: config.Stream,
	}).Repeatable(), qt.IsFalse)
	qt.Assert(t, (&config.Route{
		Kind:      config.Stream,
		Resumable: true,
	}).Repeatable(), qt.IsTrue)
}
