package tdusage

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
)

// Prefix is the prefix of the keys of sources in the store. The keys sort by
// window.
const Prefix = "usage/source/"

// maxRecordBytes bounds a decompressed record.
const maxRecordBytes = 16 << 20

// SourceID identifies a source.
type SourceID struct {
	Window int64  // Its start in Unix seconds.
	Source string // The process and the number of the segment in it.
}

// Key returns the key of a generation of the source in the store.
func (id SourceID) Key(generation int) string {
	return fmt.Sprintf("%s%012d/%s/%06d", Prefix, id.Window, id.Source, generation)
}

// ParseKey parses a key that Key returned.
func ParseKey(key string) (SourceID, int, error) {
	parts := strings.Split(strings.TrimPrefix(key, Prefix), "/")
	if len(parts) != 3 {
		return SourceID{}, 0, eris.Errorf("key %q does not name a usage source", key)
	}
	window, errWindow := strconv.ParseInt(parts[0], 10, 64)
	generation, errGeneration := strconv.Atoi(parts[2])
	if errWindow != nil || errGeneration != nil || generation < 0 {
		return SourceID{}, 0, eris.Errorf("key %q does not name a usage source", key)
	}
	return SourceID{Window: window, Source: parts[1]}, generation, nil
}

// WindowStart returns the start, in Unix seconds, of the window that contains a
// wall-clock time.
func WindowStart(at time.Time, length time.Duration) int64 {
	return at.Truncate(length).Unix()
}

// Generation is the content of one generation of a source in the store.
type Generation struct {
	Closed bool
	Lines  Lines
}

// Encode returns the generation as a gzip-compressed Record.
func (s Generation) Encode() ([]byte, error) {
	raw, err := proto.Marshal(&Record{Closed: s.Closed, Lines: s.Lines.messages()})
	if err != nil {
		return nil, eris.Wrap(err, "encode usage record")
	}
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	if _, err := w.Write(raw); err != nil {
		return nil, eris.Wrap(err, "encode usage record")
	}
	if err := w.Close(); err != nil {
		return nil, eris.Wrap(err, "encode usage record")
	}
	return out.Bytes(), nil
}

// Decode parses what Encode returned.
func Decode(value []byte) (Generation, error) {
	r, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return Generation{}, eris.Wrap(err, "decode usage record")
	}
	raw, err := io.ReadAll(io.LimitReader(r, maxRecordBytes+1))
	if err != nil {
		return Generation{}, eris.Wrap(err, "decode usage record")
	}
	if len(raw) > maxRecordBytes {
		return Generation{}, eris.New("usage record is too large")
	}
	var m Record
	if err := proto.Unmarshal(raw, &m); err != nil {
		return Generation{}, eris.Wrap(err, "decode usage record")
	}
	return Generation{Closed: m.GetClosed(), Lines: parseLines(m.GetLines())}, nil
}
