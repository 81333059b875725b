package platformlog

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hornbeamway/hornbeamway/pkg/clock"
)

// defaultMemoryRetention is the time for which Memory keeps records unless SetRetention is called.
const defaultMemoryRetention = time.Hour

// Memory is a Log in memory with the faults of the platform's service. It is meant for tests and is safe for
// concurrent use.
type Memory struct {
	clock clock.Clock

	mu        sync.Mutex
	streams   map[string]*memoryStream
	retention time.Duration
	down      bool
	delay     time.Duration
	lost      int
}

type memoryStream struct {
	first   int64
	records []Record
	grown   chan struct{} // closed and replaced at each append
}

func (s *memoryStream) next() int64 { return s.first + int64(len(s.records)) }

// NewMemory returns an empty log on the given clock.
func NewMemory(c clock.Clock) *Memory {
	return &Memory{clock: c, streams: map[string]*memoryStream{}, retention: defaultMemoryRetention}
}

// SetDown switches an outage on or off. Reads that wait end with ErrUnavailable.
func (m *Memory) SetDown(down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = down
	for _, s := range m.streams {
		s.wake()
	}
}

// SetDelay makes each request take d longer. Zero ends the fault.
func (m *Memory) SetDelay(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.delay = d
}

// LoseAnswers makes the next n appends take effect and return ErrUnknownAppend.
func (m *Memory) LoseAnswers(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lost = n
}

// SetRetention sets the time for which records are kept.
func (m *Memory) SetRetention(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.retention = d
}

// Expire drops all records of the stream before the given offset.
func (m *Memory) Expire(stream string, before int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.stream(stream)
	n := min(max(before-s.first, 0), int64(len(s.records)))
	s.drop(int(n))
}

// Append implements Log. An append whose context ends during a delay takes effect all the same.
func (m *Memory) Append(ctx context.Context, stream string, data any) (int64, error) {
	text, err := json.Marshal(data)
	if err != nil {
		return 0, errors.Wrap(err, "encode record")
	}
	if m.isDown() {
		return 0, errors.Wrap(ErrUnavailable, "append refused")
	}
	delayErr := m.wait(ctx)
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.stream(stream)
	offset := s.next()
	s.records = append(s.records, Record{Offset: offset, AtMillis: m.clock.Now().UnixMilli(), Data: text})
	s.wake()
	if delayErr != nil {
		return 0, errors.Wrapf(ErrUnknownAppend, "%v", delayErr)
	}
	if m.lost > 0 {
		m.lost--
		return 0, errors.Wrap(ErrUnknownAppend, "answer lost")
	}
	return offset, nil
}

// Read implements Log.
func (m *Memory) Read(ctx context.Context, stream string, from int64, wait time.Duration) (Batch, error) {
	if err := m.wait(ctx); err != nil {
		return Batch{}, errors.Wrapf(ErrUnavailable, "%v", err)
	}
	var timeout <-chan time.Time
	if wait > 0 {
		timeout = m.clock.After(wait)
	}
	for {
		batch, grown, err := m.read(stream, from)
		if err != nil || len(batch.Records) > 0 || wait <= 0 {
			return batch, err
		}
		select {
		case <-grown:
		case <-timeout:
			wait = 0
		case <-ctx.Done():
			return Batch{}, errors.Wrapf(ErrUnavailable, "%v", ctx.Err())
		}
	}
}

func (m *Memory) read(stream string, from int64) (Batch, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return Batch{}, nil, errors.Wrap(ErrUnavailable, "read refused")
	}
	s := m.stream(stream)
	m.expireOld(s)
	batch := Batch{First: s.first, Next: s.next(), RetentionMillis: m.retention.Milliseconds()}
	start := min(max(from-s.first, 0), int64(len(s.records)))
	end := min(start+readLimit, int64(len(s.records)))
	batch.Records = append(batch.Records, s.records[start:end]...)
	return batch, s.grown, nil
}

func (m *Memory) isDown() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.down
}

// wait takes the time of the delay fault. It returns the context's error when that ends first.
func (m *Memory) wait(ctx context.Context) error {
	m.mu.Lock()
	delay := m.delay
	m.mu.Unlock()
	if delay <= 0 {
		return ctx.Err()
	}
	select {
	case <-m.clock.After(delay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (m *Memory) stream(name string) *memoryStream {
	s, ok := m.streams[name]
	if !ok {
		s = &memoryStream{grown: make(chan struct{})}
		m.streams[name] = s
	}
	return s
}

func (m *Memory) expireOld(s *memoryStream) {
	oldest := m.clock.Now().Add(-m.retention).UnixMilli()
	n := 0
	for n < len(s.records) && s.records[n].AtMillis < oldest {
		n++
	}
	s.drop(n)
}

func (s *memoryStream) drop(n int) {
	s.first += int64(n)
	s.records = s.records[n:]
}

func (s *memoryStream) wake() {
	close(s.grown)
	s.grown = make(chan struct{})
}
