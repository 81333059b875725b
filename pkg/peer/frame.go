package peer

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// ErrFrame reports a frame that is too large or malformed.
var ErrFrame = errors.New("invalid frame")

// codec reads and writes frames. A frame is a length as an unsigned varint, followed by that many bytes of JSON. codec
// implements jsonrpc2.ObjectCodec.
type codec struct {
	// limit is the maximum frame size in bytes. The server raises it after peer.hello.
	limit *atomic.Int64
}

func newCodec(limit int) codec {
	c := codec{limit: new(atomic.Int64)}
	c.limit.Store(int64(limit))
	return c
}

// WriteObject implements jsonrpc2.ObjectCodec. The length and the body are written to the stream's buffer, so that a small
// message is sent as one segment.
func (c codec) WriteObject(w io.Writer, obj any) error {
	data, err := json.Marshal(obj)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrFrame, err)
	}
	if int64(len(data)) > c.limit.Load() {
		return errors.Wrapf(ErrFrame, "%d bytes exceed the limit of %d", len(data), c.limit.Load())
	}
	if _, err := w.Write(binary.AppendUvarint(nil, uint64(len(data)))); err != nil {
		return err
	}
	_, err = w.Write(data)
	countPayload(data, "sent")
	return err
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (c codec) ReadObject(r *bufio.Reader, v any) error {
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return err
	}
	if size == 0 || size > uint64(c.limit.Load()) {
		return errors.Wrapf(ErrFrame, "length %d is outside 1 to %d", size, c.limit.Load())
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(r, data); err != nil {
		return err
	}
	countPayload(data, "received")
	if err := json.Unmarshal(data, v); err != nil {
		return fmt.Errorf("%w: %w", ErrFrame, err)
	}
	return nil
}
