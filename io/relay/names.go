package relay

import (
	"strings"
	"unicode/utf8"

	"github.com/pkg/errors"
)

// packedNames are names as they are sent. Each name starts with the part that it shares with the previous
// one (front coding), since names of servers have a prefix in common and are sorted.
type packedNames struct {
	// Shared and Added are the numbers of bytes by name that are those of the previous name, and that
	// follow in Text.
	Shared []int  `json:"shared"`
	Added  []int  `json:"added"`
	Text   string `json:"text"`
}

// packNames returns names in the form in which they are sent. Bytes that are not UTF-8 are replaced, as
// JSON cannot contain them.
func packNames(names []string) *packedNames {
	if len(names) == 0 {
		return nil
	}
	packed := &packedNames{}
	var text strings.Builder
	previous := ""
	for _, name := range names {
		name = strings.ToValidUTF8(name, "?")
		shared := sharedPrefix(previous, name)
		packed.Shared = append(packed.Shared, shared)
		packed.Added = append(packed.Added, len(name)-shared)
		text.WriteString(name[shared:])
		previous = name
	}
	packed.Text = text.String()
	return packed
}

// sharedPrefix returns the length of the prefix that two strings share, in bytes of whole characters.
func sharedPrefix(a, b string) int {
	shared := 0
	for shared < min(len(a), len(b)) && a[shared] == b[shared] {
		shared++
	}
	for shared > 0 && shared < len(b) && !utf8.RuneStart(b[shared]) {
		shared--
	}
	return shared
}

// nameBudget is the number of bytes that the unpacked names of one message may still have. Names may share
// nearly all of their bytes, so that a message of maxLoadBytes could stand for hundreds of MB.
type nameBudget int

// unpack returns the names. It fails if they exceed the budget, and otherwise reduces it by their size.
func (p *packedNames) unpack(budget *nameBudget) ([]string, error) {
	if p == nil {
		return nil, nil
	}
	if len(p.Shared) != len(p.Added) {
		return nil, errors.Errorf("decode names: %d shared lengths, but %d added ones", len(p.Shared), len(p.Added))
	}
	var names []string
	rest, previous := p.Text, ""
	for i, shared := range p.Shared {
		added := p.Added[i]
		if shared < 0 || shared > len(previous) || added < 0 || added > len(rest) {
			return nil, errors.Errorf("decode names: lengths of name %d are invalid", i)
		}
		if *budget -= nameBudget(shared + added); *budget < 0 {
			return nil, errors.Errorf("decode names: more than %d bytes", maxLoadBytes)
		}
		previous = previous[:shared] + rest[:added]
		rest = rest[added:]
		names = append(names, previous)
	}
	return names, nil
}
