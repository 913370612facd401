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

// minCompressBytes is the size from which a value is sent compressed: a configuration of a
// thousand routes has some hundred KB, and a relay with a slow link sends it to dozens of
// daemons.
const minCompressBytes = 4 << 10

// maxDecompressedBytes bounds a decompressed value, or the rows that were compressed together; rows
// of the store are smaller.
const maxDecompressedBytes = 64 << 20

// valueCompressor compresses values and caches the result, so that each is compressed once for
// all callers. The zero value is ready to use.
type valueCompressor struct {
	mutex  sync.Mutex
	values map[string]compressedValue
}

// compressedValue is the compressed value of a row at a revision.
type compressedValue struct {
	revision rowstore.Revision
	value    []byte
}

// compress returns the compressed value of a row, or nil if the value is short.
func (c *valueCompressor) compress(table, key string, revision rowstore.Revision, value []byte) ([]byte, error) {
	if len(value) < minCompressBytes {
		return nil, nil
	}
	name := table + "/" + key
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if found, ok := c.values[name]; ok && found.revision == revision {
		return found.value, nil
	}
	content, err := compress(value)
	if err != nil {
		return nil, err
	}
	if c.values == nil {
		c.values = map[string]compressedValue{}
	}
	c.values[name] = compressedValue{
		revision: revision,
		value:    content,
	}
	return content, nil
}

// compress returns a value compressed by gzip.
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

// minCompressRows is the number of rows from which they are compressed together. Rows are
// similar, so the entries of a thousand servers shrink from 450 KB to a tenth. When all daemons
// restart, dozens of them read these from one relay over a link of 200 Mbit/s.
const minCompressRows = 32

// rowCompressor compresses rows together and caches the result, so that it is computed once for
// all callers. When all daemons start, dozens read the same table from a relay at the same
// time, and compressing it for each of them would overload a small VM. The zero value is ready
// to use.
type rowCompressor struct {
	mutex  sync.Mutex
	tables map[string]compressedTable
}

// compressedTable holds the compressed rows of a table at a revision, by the version since
// which the rows changed.
type compressedTable struct {
	revision rowstore.Revision
	bySince  map[int64][]byte
}

// wholeTable stands for a snapshot, in place of the version since which a table changed.
const wholeTable = -1

// compress returns the result with its rows compressed together if there are many.
func (c *rowCompressor) compress(table string, since int64, result callResult) (callResult, error) {
	if len(result.Rows) < minCompressRows {
		return result, nil
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	cached := c.tables[table]
	revision := rowstore.Revision{
		Era:     result.Era,
		Version: result.Version,
	}
	if cached.revision != revision || cached.bySince == nil {
		cached = compressedTable{
			revision: revision,
			bySince:  map[int64][]byte{},
		}
	}
	content, isCached := cached.bySince[since]
	if !isCached {
		var err error
		if content, err = compressRows(result.Rows); err != nil {
			return callResult{}, err
		}
		cached.bySince[since] = content
	}
	if c.tables == nil {
		c.tables = map[string]compressedTable{}
	}
	c.tables[table] = cached
	result.Rows = nil
	result.PackedRows = content
	return result, nil
}

// compressRows returns rows as compressed JSON.
func compressRows(rows []row) ([]byte, error) {
	encoded, err := json.Marshal(rows)
	if err != nil {
		return nil, errors.Wrap(err, "encode rows")
	}
	return compress(encoded)
}

// decodeRows returns the rows of a result, compressed or not.
func (r callResult) decodeRows() ([]row, error) {
	if len(r.PackedRows) == 0 {
		return r.Rows, nil
	}
	encoded, err := decompress(r.PackedRows)
	if err != nil {
		return nil, err
	}
	var rows []row
	err = json.Unmarshal(encoded, &rows)
	return rows, errors.Wrap(err, "decode rows")
}

// decompress returns the original of a compressed value. It fails if that exceeds maxDecompressedBytes.
func decompress(value []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return nil, errors.Wrap(err, "unpack value")
	}
	content, err := io.ReadAll(io.LimitReader(reader, maxDecompressedBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "unpack value")
	}
	if len(content) > maxDecompressedBytes {
		return nil, errors.Errorf("unpack value: more than %d bytes", maxDecompressedBytes)
	}
	return content, nil
}
