package relay

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"io"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/klauspost/compress/flate"
	"github.com/pkg/errors"

	"headcourse/core/demand"
)

// maxLoadBytes bounds decompressed load sections, and the names in them after unpacking. The largest valid
// sections have some 300 KB.
const maxLoadBytes = 1 << 20

// maxSumAge limits the age of totals from other daemons. Totals that old are not used anyway.
const maxSumAge = time.Minute

// loadLevel is the level of compression. Higher levels save hardly any bytes of reports this small.
const loadLevel = 5

// loadSections are the sections of a report or of totals, as they are sent: as JSON, compressed together.
// Daemons report four times a second, and the JSON objects of the previous form alone would take twice the
// bytes that a daemon may use for reports. Kinds and zones are therefore sent once and referred to by
// index, and rates are 16-bit codes. All organisations of all kinds are sent, also of kinds that are not
// overloaded, since each daemon derives their usual rates from them.
type loadSections struct {
	Kinds []loadKind `json:"kinds,omitempty"`
	Zones []string   `json:"zones,omitempty"`
	// Demand has numbersPerDemand numbers for each entry.
	Demand packedNumbers `json:"demand,omitempty"`
	// AgeMS is the time since totals were added up, in milliseconds.
	AgeMS int64 `json:"age_ms,omitempty"`
	// Details states that the report has organisations and paces, which may both be empty.
	Details       bool                `json:"details,omitempty"`
	Organisations []organisationRates `json:"organisations,omitempty"`
	// Servers and Votes have the same length.
	Servers *packedNames `json:"servers,omitempty"`
	Votes   [][4]uint32  `json:"votes,omitempty"`
}

// loadKind is a service and a model.
type loadKind [2]string

// numbersPerDemand is how many numbers an entry of demand has: the indexes of its kind and its zone, and
// the codes of the rates in the order of demandRates.
const numbersPerDemand = 11

// organisationRates are the work rates of the organisations of a kind. Names and Rates have the same
// length.
type organisationRates struct {
	Kind  int           `json:"kind"`
	Names *packedNames  `json:"names"`
	Rates packedNumbers `json:"rates"`
}

// packedNumbers are numbers that are sent as base64 of two bytes each.
type packedNumbers []uint16

// MarshalJSON encodes the numbers.
func (n packedNumbers) MarshalJSON() ([]byte, error) {
	var encoded []byte
	for _, number := range n {
		encoded = binary.BigEndian.AppendUint16(encoded, number)
	}
	return json.Marshal(encoded)
}

// UnmarshalJSON decodes the numbers.
func (n *packedNumbers) UnmarshalJSON(value []byte) error {
	var encoded []byte
	if err := json.Unmarshal(value, &encoded); err != nil {
		return err
	}
	if len(encoded)%2 != 0 {
		return errors.Errorf("decode numbers: %d bytes", len(encoded))
	}
	*n = nil
	for i := 0; i < len(encoded); i += 2 {
		*n = append(*n, binary.BigEndian.Uint16(encoded[i:]))
	}
	return nil
}

// A code of a rate has a binary exponent of 6 bits and a mantissa of 10 bits, so that it differs from the
// rate by at most 0.05 %. Rates below 2 to the power of -13 are sent as 0, those above 2 to the power of 50
// as about that. Rates that aren't valid are sent as invalidRateCode and rejected by the receiver.
const (
	mantissaBits    = 10
	exponentBias    = 13
	maxExponent     = 1<<(16-mantissaBits) - 1
	invalidRateCode = math.MaxUint16
)

// rateCode returns the code of a rate.
func rateCode(rate float64) uint16 {
	if math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
		return invalidRateCode
	}
	fraction, exponent := math.Frexp(rate)
	// The fraction is from 0.5 to 1, and its first bit is always set.
	mantissa := int(math.Round((2*fraction - 1) * (1 << mantissaBits)))
	code := (exponent+exponentBias)<<mantissaBits + mantissa
	switch {
	case rate == 0 || exponent+exponentBias <= 0:
		return 0
	case code >= invalidRateCode || exponent+exponentBias > maxExponent:
		return invalidRateCode - 1
	}
	return uint16(code)
}

// rateOf returns the rate that a code stands for.
func rateOf(code uint16) float64 {
	switch code {
	case 0:
		return 0
	case invalidRateCode:
		return math.NaN()
	}
	exponent := int(code>>mantissaBits) - exponentBias
	mantissa := float64(code & (1<<mantissaBits - 1))
	return math.Ldexp((1+mantissa/(1<<mantissaBits))/2, exponent)
}

// demandRates returns the rates of an entry in the order in which they are sent.
func demandRates(entry *demand.Demand) [numbersPerDemand - 2]*float64 {
	return [...]*float64{
		&entry.WorkRate,
		&entry.FastWorkRate,
		&entry.TokenRates.Requests,
		&entry.TokenRates.Prompt,
		&entry.TokenRates.Answer,
		&entry.TokenRates.PromptSquares,
		&entry.TokenRates.GoalPromptSeconds,
		&entry.InTimeRate,
		&entry.LateRate,
	}
}

// indexOf returns the index of a value in a list, and the list, to which the value is added if it is not
// there.
func indexOf[T comparable](list []T, value T) (int, []T) {
	for i, known := range list {
		if known == value {
			return i, list
		}
	}
	return len(list), append(list, value)
}

// kindIndex returns the index of a kind, which is added if it is not there.
func (l *loadSections) kindIndex(kind demand.Kind) (index int) {
	index, l.Kinds = indexOf(l.Kinds, loadKind{kind.Service, kind.Model})
	return index
}

// zoneIndex returns the index of a zone, which is added if it is not there.
func (l *loadSections) zoneIndex(zone string) (index int) {
	index, l.Zones = indexOf(l.Zones, zone)
	return index
}

// encodeLoad converts the sections of a report or of totals to the form in which they are sent.
func encodeLoad(totals demand.Totals) ([]byte, error) {
	sections := loadSections{
		Details: totals.HasDetails,
		AgeMS:   totals.SumAge.Milliseconds(),
	}
	for _, entry := range totals.Demand {
		kind, zone := sections.kindIndex(entry.Kind), sections.zoneIndex(entry.Zone)
		sections.Demand = append(sections.Demand, uint16(kind), uint16(zone))
		for _, rate := range demandRates(&entry) {
			sections.Demand = append(sections.Demand, rateCode(*rate))
		}
	}
	sections.Organisations = sections.encodeOrganisations(totals.Organisations)
	var servers []string
	for _, entry := range totals.Paces {
		servers = append(servers, entry.Server)
		sections.Votes = append(sections.Votes, entry.Votes)
	}
	sections.Servers = packNames(servers)
	encoded, err := json.Marshal(sections)
	if err != nil {
		return nil, errors.Wrap(err, "encode load")
	}
	return deflate(encoded)
}

// encodeOrganisations converts entries of organisations, of which those of the same kind follow one another.
func (l *loadSections) encodeOrganisations(entries []demand.OrganisationDemand) []organisationRates {
	var encoded []organisationRates
	for len(entries) > 0 {
		kind := entries[0].Kind
		rates := organisationRates{
			Kind: l.kindIndex(kind),
		}
		var names []string
		for len(entries) > 0 && entries[0].Kind == kind {
			names = append(names, entries[0].Organisation)
			rates.Rates = append(rates.Rates, rateCode(entries[0].WorkRate))
			entries = entries[1:]
		}
		rates.Names = packNames(names)
		encoded = append(encoded, rates)
	}
	return encoded
}

// decodeLoad converts sections from the form in which they are sent. The values are not checked.
func decodeLoad(encoded []byte) (demand.Totals, error) {
	content, err := inflate(encoded)
	if err != nil {
		return demand.Totals{}, err
	}
	var sections loadSections
	if err = json.Unmarshal(content, &sections); err != nil {
		return demand.Totals{}, errors.Wrap(err, "decode load")
	}
	totals := demand.Totals{
		HasDetails: sections.Details,
		SumAge:     time.Duration(min(max(0, sections.AgeMS), maxSumAge.Milliseconds())) * time.Millisecond,
	}
	if totals.Demand, err = sections.decodeDemand(); err != nil {
		return demand.Totals{}, err
	}
	budget := nameBudget(maxLoadBytes)
	if totals.Organisations, err = sections.decodeOrganisations(&budget); err != nil {
		return demand.Totals{}, err
	}
	servers, err := sections.Servers.unpack(&budget)
	if err != nil {
		return demand.Totals{}, err
	}
	if len(servers) != len(sections.Votes) {
		return demand.Totals{}, errors.Errorf("decode load: %d servers, but votes for %d", len(servers), len(sections.Votes))
	}
	for i, server := range servers {
		totals.Paces = append(totals.Paces, demand.PaceVotes{
			Server: server,
			Votes:  sections.Votes[i],
		})
	}
	return totals, nil
}

// decodeDemand returns the entries of demand.
func (l *loadSections) decodeDemand() ([]demand.Demand, error) {
	if len(l.Demand)%numbersPerDemand != 0 {
		return nil, errors.Errorf("decode load: demand has %d numbers", len(l.Demand))
	}
	var entries []demand.Demand
	for numbers := range slices.Chunk(l.Demand, numbersPerDemand) {
		kind, zone := int(numbers[0]), int(numbers[1])
		if kind >= len(l.Kinds) || zone >= len(l.Zones) {
			return nil, errors.Errorf("decode load: entry %d of demand has no kind or zone", len(entries))
		}
		entry := demand.Demand{
			Kind: l.Kinds[kind].decode(),
			Zone: l.Zones[zone],
		}
		for i, rate := range demandRates(&entry) {
			*rate = rateOf(numbers[2+i])
		}
		entries = append(entries, entry)
	}
	return entries, nil
}

// decodeOrganisations returns the entries of organisations, whose names count against the budget.
func (l *loadSections) decodeOrganisations(budget *nameBudget) ([]demand.OrganisationDemand, error) {
	var entries []demand.OrganisationDemand
	for i, rates := range l.Organisations {
		names, err := rates.Names.unpack(budget)
		if err != nil {
			return nil, err
		}
		if rates.Kind < 0 || rates.Kind >= len(l.Kinds) || len(names) != len(rates.Rates) {
			return nil, errors.Errorf("decode load: entry %d of organisations has no kind, or names without rates", i)
		}
		for j, name := range names {
			entries = append(entries, demand.OrganisationDemand{
				Kind:         l.Kinds[rates.Kind].decode(),
				Organisation: name,
				WorkRate:     rateOf(rates.Rates[j]),
			})
		}
	}
	return entries, nil
}

// decode returns the kind.
func (k loadKind) decode() demand.Kind {
	return demand.Kind{
		Service: k[0],
		Model:   k[1],
	}
}

// loadDictionary is what the compression of load sections starts from: the parts of the JSON that all have.
// Both sides must use the same one.
var loadDictionary = []byte(`"},"votes":[[0,1,0,0],[1,0,0,0],[1,0,0,0]]}"servers":{"shared":[0,2,3,3,3,2,4,3,3,3,],` +
	`"added":[12,10,9,9,9,10,8,9,9,9],"text":"i-"},"rates":"AA"}],` +
	`"details":true,"organisations":[{"kind":1,"names":{"kind":0,"names":{"shared":[0,0,0,0,0,0,0,0` +
	`{"kinds":[["engines","large"],["engines",""]],"zones":["a","b"],"demand":"AAAAAAAAAAA"}`)

// deflaters are unused writers. A relay answers hundreds of reports a second, and a writer has some
// hundred KB of tables.
var deflaters sync.Pool

// deflate returns a value compressed without header and checksum, since small reports have 100 bytes.
func deflate(value []byte) ([]byte, error) {
	var out bytes.Buffer
	writer, ok := deflaters.Get().(*flate.Writer)
	if ok {
		writer.Reset(&out)
	} else {
		var err error
		if writer, err = flate.NewWriterDict(&out, loadLevel, loadDictionary); err != nil {
			return nil, errors.Wrap(err, "pack load")
		}
	}
	defer deflaters.Put(writer)
	if _, err := writer.Write(value); err != nil {
		return nil, errors.Wrap(err, "pack load")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "pack load")
	}
	return out.Bytes(), nil
}

// inflate returns the original of a deflated value. It fails if that exceeds maxLoadBytes.
func inflate(value []byte) ([]byte, error) {
	reader := flate.NewReaderDict(bytes.NewReader(value), loadDictionary)
	content, err := io.ReadAll(io.LimitReader(reader, maxLoadBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "unpack load")
	}
	if len(content) > maxLoadBytes {
		return nil, errors.Errorf("unpack load: more than %d bytes", maxLoadBytes)
	}
	return content, nil
}
