package relay

import (
	"bytes"
	"encoding/json"
	"io"
	"sync"

	"github.com/klauspost/compress/gzip"
	"github.com/pkg/errors"

	"headcourse/core/rowstore"
)

// packFrom is the size from which a value is sent packed: a configuration of a
// thousand routes has some hundred KB, and a relay with a slow link sends it to
// dozens of daemons.
const packFrom = 4 << 10

// unpackLimit bounds a value that is unpacked; rows of the store are smaller.
const unpackLimit = 64 << 20

// packer packs values, each once for all who ask. The zero value works.
type packer struct {
	mutex sync.Mutex
	known map[string]packed
}

// packed is a row's packed value.
type packed struct {
	at    rowstore.Revision
	value []byte
}

// pack returns the packed value of a row, or nil where it is short.
func (p *packer) pack(table, key string, at rowstore.Revision, value []byte) ([]byte, error) {
	if len(value) < packFrom {
		return nil, nil
	}
	name := table + "/" + key
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if found, ok := p.known[name]; ok && found.at == at {
		return found.value, nil
	}
	content, err := compress(value)
	if err != nil {
		return nil, err
	}
	if p.known == nil {
		p.known = map[string]packed{}
	}
	p.known[name] = packed{
		at:    at,
		value: content,
	}
	return content, nil
}

// compress returns a value compressed.
func compress(value []byte) ([]byte, error) {
	var out bytes.Buffer
	writer, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "pack value")
	}
	if _, err = writer.Write(value); err != nil {
		return nil, errors.Wrap(err, "pack value")
	}
	if err = writer.Close(); err != nil {
		return nil, errors.Wrap(err, "pack value")
	}
	return out.Bytes(), nil
}

// packRowsFrom is the number of rows from which they are sent packed together: they are
// much alike, and a thousand servers' entries shrink from 450 KB to a tenth. Dozens of
// daemons read them from one relay at a restart of all, over a link of 200 Mbit/s.
const packRowsFrom = 32

// bundles keeps rows that were packed together, each once for all who ask. When all
// daemons start, dozens ask a relay for the same table at the same moment, and packing it for
// each of them would keep a small VM busy. The zero value works.
type bundles struct {
	mutex sync.Mutex
	known map[string]tableBundles
}

// tableBundles are the bundles of a table at a revision, by the version since which the
// rows changed.
type tableBundles struct {
	at    rowstore.Revision
	since map[int64][]byte
}

// whole stands for a table read whole, in place of a version since which it changed.
const whole = -1

// pack returns the answer with its rows packed where they are many.
func (b *bundles) pack(table string, since int64, a answer) (answer, error) {
	if len(a.Rows) < packRowsFrom {
		return a, nil
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	known := b.known[table]
	at := rowstore.Revision{
		Era:     a.Era,
		Version: a.Version,
	}
	if known.at != at || known.since == nil {
		known = tableBundles{
			at:    at,
			since: map[int64][]byte{},
		}
	}
	content, isKnown := known.since[since]
	if !isKnown {
		var err error
		if content, err = packRows(a.Rows); err != nil {
			return answer{}, err
		}
		known.since[since] = content
	}
	if b.known == nil {
		b.known = map[string]tableBundles{}
	}
	b.known[table] = known
	a.Rows = nil
	a.PackedRows = content
	return a, nil
}

// packRows returns rows encoded and compressed.
func packRows(rows []row) ([]byte, error) {
	encoded, err := json.Marshal(rows)
	if err != nil {
		return nil, errors.Wrap(err, "encode rows")
	}
	return compress(encoded)
}

// rows returns the answer's rows, packed or not.
func (a answer) rows() ([]row, error) {
	if len(a.PackedRows) == 0 {
		return a.Rows, nil
	}
	encoded, err := unpack(a.PackedRows)
	if err != nil {
		return nil, err
	}
	var rows []row
	err = json.Unmarshal(encoded, &rows)
	return rows, errors.Wrap(err, "decode rows")
}

// unpack returns a value that was packed.
func unpack(value []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return nil, errors.Wrap(err, "unpack value")
	}
	content, err := io.ReadAll(io.LimitReader(reader, unpackLimit))
	return content, errors.Wrap(err, "unpack value")
}
