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

// Prefix is where sources stand in the store, in the order of their windows.
const Prefix = "usage/source/"

// maxRecordBytes bounds a record once it is unpacked.
const maxRecordBytes = 16 << 20

// SourceID names a source: a process, a segment of what it counted, and the
// window that the segment belongs to.
type SourceID struct {
	Window int64 // Its start, in seconds since 1970 UTC.
	Source string
}

// Key returns where a generation of the source stands.
func (id SourceID) Key(generation int) string {
	return fmt.Sprintf("%s%012d/%s/%06d", Prefix, id.Window, id.Source, generation)
}

// ParseKey reads what Key returns.
func ParseKey(key string) (SourceID, int, error) {
	parts := strings.Split(strings.TrimPrefix(key, Prefix), "/")
	if len(parts) != 3 {
		return SourceID{}, 0, eris.Errorf("%q names no usage source", key)
	}
	window, errWindow := strconv.ParseInt(parts[0], 10, 64)
	generation, errGeneration := strconv.Atoi(parts[2])
	if errWindow != nil || errGeneration != nil || generation < 0 {
		return SourceID{}, 0, eris.Errorf("%q names no usage source", key)
	}
	return SourceID{Window: window, Source: parts[1]}, generation, nil
}

// Cut returns the start of the window that a wall clock time lies in.
func Cut(at time.Time, length time.Duration) int64 {
	return at.Truncate(length).Unix()
}

// Stored is one generation of a source as it stands in the store.
type Stored struct {
	Closed bool
	Lines  Lines
}

// Encode packs a generation.
func (s Stored) Encode() ([]byte, error) {
	raw, err := proto.Marshal(&Record{Closed: s.Closed, Lines: s.Lines.messages()})
	if err != nil {
		return nil, eris.Wrap(err, "usage record")
	}
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	if _, err := w.Write(raw); err != nil {
		return nil, eris.Wrap(err, "usage record")
	}
	if err := w.Close(); err != nil {
		return nil, eris.Wrap(err, "usage record")
	}
	return out.Bytes(), nil
}

// Decode unpacks a generation.
func Decode(value []byte) (Stored, error) {
	r, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return Stored{}, eris.Wrap(err, "usage record can't be read")
	}
	raw, err := io.ReadAll(io.LimitReader(r, maxRecordBytes+1))
	if err != nil {
		return Stored{}, eris.Wrap(err, "usage record can't be read")
	}
	if len(raw) > maxRecordBytes {
		return Stored{}, eris.New("usage record is too large")
	}
	var m Record
	if err := proto.Unmarshal(raw, &m); err != nil {
		return Stored{}, eris.Wrap(err, "usage record can't be read")
	}
	return Stored{Closed: m.GetClosed(), Lines: lines(m.GetLines())}, nil
}
