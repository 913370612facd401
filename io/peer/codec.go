package peer

import (
	"encoding/binary"
	"time"

	"github.com/pkg/errors"

	"headcourse/core/contact"
	"headcourse/core/presence"
)

// Daemons exchange reports and evidence many times a minute, and these are most of
// their traffic. They are encoded as unsigned varints. A report consists of name,
// configuration version and age. Evidence consists of name, generation, whole (0 or
// 1), age, requests in flight, and slots. Each session replaces names by numbers.
// Ages are in units of ageResolution and rounded up, so that an observation never
// appears to be more recent than it is.

// ageResolution is the unit of encoded ages.
const ageResolution = 10 * time.Millisecond

// maxSentAge is the maximum age of reports and evidence that are sent.
const maxSentAge = 12 * time.Second

// errMalformed means that encoded data is truncated, or contains the number of an
// unknown name.
var errMalformed = errors.New("packed reports or evidence are malformed")

// encoder encodes the answers of one session. It omits observations that are not newer
// than those sent before in the session. The zero value is for a new session.
type encoder struct {
	numbers  map[string]int
	lastSent map[int]time.Time
}

// encode returns the wire form of an answer.
func (e *encoder) encode(answer PullAnswer, now time.Time) pullReply {
	if e.numbers == nil {
		e.numbers = map[string]int{}
		e.lastSent = map[int]time.Time{}
	}
	reply := pullReply{
		Incarnation: answer.Incarnation,
		Position:    answer.Position,
		Rows:        answer.Rows,
		More:        answer.HasMore,
		Names:       map[int]string{},
	}
	for _, report := range answer.Reports {
		if number, shouldSend := e.assignNumber("d/"+report.Daemon, report.ObservedAt, now, reply.Names); shouldSend {
			reply.Reports = appendNumbers(reply.Reports, uint64(number), report.ConfigVersion, encodeAge(report.ObservedAt, now))
		}
	}
	for _, observed := range answer.Evidence {
		if number, shouldSend := e.assignNumber("g/"+observed.Group, observed.ObservedAt, now, reply.Names); shouldSend {
			whole := uint64(0)
			if observed.IsWhole {
				whole = 1
			}
			reply.Evidence = appendNumbers(reply.Evidence, uint64(number), observed.Generation, whole, encodeAge(observed.ObservedAt, now), uint64(observed.InFlight), uint64(observed.Slots))
		}
	}
	return reply
}

// assignNumber returns the number of a name, and whether an observation made at a time
// must be sent: it is not too old, and newer than the last one sent. A name that is new
// to the session gets a number and is added to names.
func (e *encoder) assignNumber(name string, observedAt, now time.Time, names map[int]string) (number int, shouldSend bool) {
	number, ok := e.numbers[name]
	if ok && !observedAt.After(e.lastSent[number]) || now.Sub(observedAt) > maxSentAge {
		return number, false
	}
	if !ok {
		number = len(e.numbers) + 1
		e.numbers[name] = number
		names[number] = name
	}
	e.lastSent[number] = observedAt
	return number, true
}

// encodeAge returns the age in units of ageResolution, rounded up to the next larger unit:
// an age of 0 is encoded as 1.
func encodeAge(observedAt, now time.Time) uint64 {
	return uint64(max(0, now.Sub(observedAt))/ageResolution) + 1
}

// appendNumbers appends numbers to data as varints.
func appendNumbers(data []byte, numbers ...uint64) []byte {
	for _, number := range numbers {
		data = binary.AppendUvarint(data, number)
	}
	return data
}

// readNumbers decodes varints from data into numbers, and returns the rest of data.
func readNumbers(data []byte, numbers []uint64) ([]byte, error) {
	for i := range numbers {
		number, size := binary.Uvarint(data)
		if size <= 0 {
			return nil, errMalformed
		}
		numbers[i] = number
		data = data[size:]
	}
	return data, nil
}

// lookupName returns the name with a number, without the prefix that distinguishes
// daemons from groups.
func lookupName(names map[int]string, number uint64) (string, error) {
	const prefixSize = 2
	if number > uint64(len(names)) || len(names[int(number)]) < prefixSize {
		return "", errMalformed
	}
	return names[int(number)][prefixSize:], nil
}

// observationTime returns the time of an observation: its age before the time at which
// the request was sent. An age above an hour counts as an hour.
func observationTime(requestedAt time.Time, age uint64) time.Time {
	return requestedAt.Add(-time.Duration(min(age, uint64(time.Hour/ageResolution))) * ageResolution)
}

// decodeReports decodes reports.
func decodeReports(data []byte, names map[int]string, requestedAt time.Time) ([]contact.Report, error) {
	var reports []contact.Report
	numbers := make([]uint64, 3)
	for len(data) > 0 {
		rest, err := readNumbers(data, numbers)
		if err != nil {
			return nil, err
		}
		data = rest
		daemon, err := lookupName(names, numbers[0])
		if err != nil {
			return nil, err
		}
		reports = append(reports, contact.Report{
			Daemon:        daemon,
			ConfigVersion: numbers[1],
			ObservedAt:    observationTime(requestedAt, numbers[2]),
		})
	}
	return reports, nil
}

// decodeEvidence decodes evidence.
func decodeEvidence(data []byte, names map[int]string, requestedAt time.Time) ([]presence.Evidence, error) {
	var evidence []presence.Evidence
	numbers := make([]uint64, 6)
	for len(data) > 0 {
		rest, err := readNumbers(data, numbers)
		if err != nil {
			return nil, err
		}
		data = rest
		group, err := lookupName(names, numbers[0])
		if err != nil {
			return nil, err
		}
		evidence = append(evidence, presence.Evidence{
			Group:      group,
			Generation: numbers[1],
			IsWhole:    numbers[2] == 1,
			ObservedAt: observationTime(requestedAt, numbers[3]),
			InFlight:   int(min(numbers[4], maxCount)),
			Slots:      int(min(numbers[5], maxCount)),
		})
	}
	return evidence, nil
}

// maxCount limits the counts that another daemon sends.
const maxCount = 1 << 30
