// Package platformlog is the client of the platform's append-only log service.
package platformlog

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of the log client.
var (
	// ErrUnavailable reports that the service did not answer. A failed append with this error has not taken effect.
	ErrUnavailable = errors.New("log service unavailable")
	// ErrUnknownAppend reports an append that may have taken effect. The caller resolves it by reading on.
	ErrUnknownAppend = errors.New("append outcome unknown")
)

// Record is one record of a stream.
type Record struct {
	// Offset is the position in the stream, counted from 0.
	Offset int64 `json:"offset"`
	// AtMillis is the service's time of the append, in milliseconds since 1970.
	AtMillis int64 `json:"atMs"`
	// Data is the JSON document that was appended.
	Data json.RawMessage `json:"data"`
}

// Batch is the answer to a read.
type Batch struct {
	// First is the offset of the oldest record that the service still keeps.
	First int64 `json:"first"`
	// Next is the offset that the next append will get.
	Next int64 `json:"next"`
	// RetentionMillis is the time for which records are kept, in milliseconds.
	RetentionMillis int64 `json:"retentionMs"`
	// Records are the records from the requested offset on, in order.
	Records []Record `json:"records"`
}

// Retention is the time for which records are kept.
func (b Batch) Retention() time.Duration { return time.Duration(b.RetentionMillis) * time.Millisecond }

// Log appends to and reads from streams.
type Log interface {
	// Append adds one record and returns its offset. Errors: ErrUnavailable, ErrUnknownAppend.
	Append(ctx context.Context, stream string, data any) (int64, error)
	// Read returns the records from offset from on. It waits up to wait for the first one. Error: ErrUnavailable.
	Read(ctx context.Context, stream string, from int64, wait time.Duration) (Batch, error)
}
