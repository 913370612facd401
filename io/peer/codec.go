package peer

import (
	"encoding/binary"
	"time"

	"github.com/pkg/errors"

	"headcourse/core/contact"
	"headcourse/core/presence"
)

// Reports and evidence are most of what daemons tell each other, many times a
// minute. They are packed as unsigned varints: a report is name, configuration
// version and age; evidence is name, generation, whole (0 or 1), age, requests
// in flight, and slots. Names are numbers that a conversation agrees on; ages
// are in units of ageUnit, rounded up, so that nothing looks younger than it is.

// ageUnit is the unit of ages.
const ageUnit = 10 * time.Millisecond

// tellUntil is the age past which reports and evidence are not passed on.
const tellUntil = 12 * time.Second

// errTruncated reports packed data that ends too early or names a number that
// was never given.
var errTruncated = errors.New("packed reports or evidence are malformed")

// teller packs what one daemon tells another, each entry only when it is newer
// than what was told before. The zero value is a new conversation.
type teller struct {
	numbers map[string]int
	told    map[int]time.Time
}

// pack returns an answer in its wire form.
func (t *teller) pack(answer Answer, now time.Time) pullReply {
	if t.numbers == nil {
		t.numbers = map[string]int{}
		t.told = map[int]time.Time{}
	}
	reply := pullReply{
		Incarnation: answer.Incarnation,
		Position:    answer.Position,
		Rows:        answer.Rows,
		More:        answer.More,
		Names:       map[int]string{},
	}
	for _, report := range answer.Reports {
		if number, isNews := t.news("d/"+report.Daemon, report.At, now, reply.Names); isNews {
			reply.Reports = appendNumbers(reply.Reports, uint64(number), report.ConfigVersion, ageOf(report.At, now))
		}
	}
	for _, one := range answer.Evidence {
		if number, isNews := t.news("g/"+one.Group, one.At, now, reply.Names); isNews {
			whole := uint64(0)
			if one.Whole {
				whole = 1
			}
			reply.Evidence = appendNumbers(reply.Evidence, uint64(number), one.Generation, whole, ageOf(one.At, now), uint64(one.InFlight), uint64(one.Slots))
		}
	}
	return reply
}

// news returns the number of a name, and whether what is dated at is to be told.
// A name that is new to the conversation is added to names.
func (t *teller) news(name string, at, now time.Time, names map[int]string) (number int, isNews bool) {
	number, ok := t.numbers[name]
	if ok && !at.After(t.told[number]) || now.Sub(at) > tellUntil {
		return number, false
	}
	if !ok {
		number = len(t.numbers) + 1
		t.numbers[name] = number
		names[number] = name
	}
	t.told[number] = at
	return number, true
}

// ageOf returns the age in units, rounded up.
func ageOf(at, now time.Time) uint64 {
	return uint64(max(0, now.Sub(at))/ageUnit) + 1
}

// appendNumbers appends numbers as varints.
func appendNumbers(packed []byte, numbers ...uint64) []byte {
	for _, number := range numbers {
		packed = binary.AppendUvarint(packed, number)
	}
	return packed
}

// takeNumbers reads numbers and returns what is left.
func takeNumbers(packed []byte, numbers []uint64) ([]byte, error) {
	for i := range numbers {
		number, size := binary.Uvarint(packed)
		if size <= 0 {
			return nil, errTruncated
		}
		numbers[i] = number
		packed = packed[size:]
	}
	return packed, nil
}

// nameOf returns the name of a number, without the prefix that tells daemons
// from groups.
func nameOf(names map[int]string, number uint64) (string, error) {
	const prefixSize = 2
	if number > uint64(len(names)) || len(names[int(number)]) < prefixSize {
		return "", errTruncated
	}
	return names[int(number)][prefixSize:], nil
}

// dated returns the time that an age means, counted from when it was asked for.
func dated(asked time.Time, age uint64) time.Time {
	return asked.Add(-time.Duration(min(age, uint64(time.Hour/ageUnit))) * ageUnit)
}

// unpackReports reads packed reports.
func unpackReports(packed []byte, names map[int]string, asked time.Time) ([]contact.Report, error) {
	var reports []contact.Report
	numbers := make([]uint64, 3)
	for len(packed) > 0 {
		rest, err := takeNumbers(packed, numbers)
		if err != nil {
			return nil, err
		}
		packed = rest
		daemon, err := nameOf(names, numbers[0])
		if err != nil {
			return nil, err
		}
		reports = append(reports, contact.Report{
			Daemon:        daemon,
			ConfigVersion: numbers[1],
			At:            dated(asked, numbers[2]),
		})
	}
	return reports, nil
}

// unpackEvidence reads packed evidence.
func unpackEvidence(packed []byte, names map[int]string, asked time.Time) ([]presence.Evidence, error) {
	var evidence []presence.Evidence
	numbers := make([]uint64, 6)
	for len(packed) > 0 {
		rest, err := takeNumbers(packed, numbers)
		if err != nil {
			return nil, err
		}
		packed = rest
		group, err := nameOf(names, numbers[0])
		if err != nil {
			return nil, err
		}
		evidence = append(evidence, presence.Evidence{
			Group:      group,
			Generation: numbers[1],
			Whole:      numbers[2] == 1,
			At:         dated(asked, numbers[3]),
			InFlight:   int(min(numbers[4], maxCount)),
			Slots:      int(min(numbers[5], maxCount)),
		})
	}
	return evidence, nil
}

// maxCount bounds counts that another daemon sends.
const maxCount = 1 << 30
