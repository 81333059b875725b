// Package platformlog provides a client for the platform's append-only log service and an in-memory log for tests.
package platformlog

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of the log client.
var (
	// ErrUnavailable reports that the service is unreachable, refused the request or gave no usable response to a read. An
	// append that failed with this error has not taken effect.
	ErrUnavailable = errors.New("log service unavailable")
	// ErrUnknownAppend reports an append that may have taken effect. The caller finds out by reading the later records.
	ErrUnknownAppend = errors.New("append outcome unknown")
)

// Record is one record of a stream.
type Record struct {
	// Offset is the position in the stream, starting at 0.
	Offset int64 `json:"offset"`
	// AtMillis is the time of the append by the service's clock, in milliseconds since the Unix epoch.
	AtMillis int64 `json:"atMs"`
	// Data is the JSON document that was appended.
	Data json.RawMessage `json:"data"`
}

// Batch is the response to a read.
type Batch struct {
	// First is the offset of the oldest retained record.
	First int64 `json:"first"`
	// Next is the offset of the next append.
	Next int64 `json:"next"`
	// RetentionMillis is the time for which records are retained, in milliseconds.
	RetentionMillis int64 `json:"retentionMs"`
	// Records are the records starting at the requested offset, in order.
	Records []Record `json:"records"`
}

// Retention returns the time for which records are retained.
func (b Batch) Retention() time.Duration { return time.Duration(b.RetentionMillis) * time.Millisecond }

// Log appends to and reads from streams.
type Log interface {
	// Append adds one record and returns its offset. Errors: ErrUnavailable, ErrUnknownAppend.
	Append(ctx context.Context, stream string, data any) (int64, error)
	// Read returns the records starting at offset from. If there are none, it waits up to wait for the next append.
	// Error: ErrUnavailable.
	Read(ctx context.Context, stream string, from int64, wait time.Duration) (Batch, error)
}
