package platformlog

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hornbeamway/hornbeamway/pkg/clock"
)

// defaultMemoryRetention is the time for which Memory retains records unless SetRetention is called.
const defaultMemoryRetention = time.Hour

// Memory is an in-memory Log for tests. It can inject the faults of the platform's service. It is safe for concurrent use.
type Memory struct {
	clock clock.Clock

	mu            sync.Mutex
	streams       map[string]*memoryStream
	retention     time.Duration
	down          bool
	delay         time.Duration
	lostResponses int
}

type memoryStream struct {
	first   int64
	records []Record
	changed chan struct{} // closed and replaced by notifyReaders
}

func (s *memoryStream) next() int64 { return s.first + int64(len(s.records)) }

// NewMemory returns an empty log that uses the given clock.
func NewMemory(c clock.Clock) *Memory {
	return &Memory{clock: c, streams: map[string]*memoryStream{}, retention: defaultMemoryRetention}
}

// SetDown starts or ends an outage. During an outage, requests fail with ErrUnavailable, including reads that are waiting.
func (m *Memory) SetDown(down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = down
	for _, s := range m.streams {
		s.notifyReaders()
	}
}

// SetDelay delays each request by d. Zero removes the delay.
func (m *Memory) SetDelay(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.delay = d
}

// LoseResponses makes the next n appends return ErrUnknownAppend although they take effect.
func (m *Memory) LoseResponses(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lostResponses = n
}

// SetRetention sets the time for which records are retained.
func (m *Memory) SetRetention(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.retention = d
}

// Expire removes all records of the stream before the given offset.
func (m *Memory) Expire(stream string, before int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.stream(stream)
	n := min(max(before-s.first, 0), int64(len(s.records)))
	s.dropOldest(int(n))
}

// Append implements Log. An append whose context ends during a delay still takes effect.
func (m *Memory) Append(ctx context.Context, stream string, data any) (int64, error) {
	encoded, err := json.Marshal(data)
	if err != nil {
		return 0, errors.Wrap(err, "encode record")
	}
	if m.isDown() {
		return 0, errors.Wrap(ErrUnavailable, "append refused")
	}
	delayErr := m.applyDelay(ctx)
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.stream(stream)
	offset := s.next()
	s.records = append(s.records, Record{Offset: offset, AtMillis: m.clock.Now().UnixMilli(), Data: encoded})
	s.notifyReaders()
	if delayErr != nil {
		return 0, errors.Wrapf(ErrUnknownAppend, "%v", delayErr)
	}
	if m.lostResponses > 0 {
		m.lostResponses--
		return 0, errors.Wrap(ErrUnknownAppend, "response lost")
	}
	return offset, nil
}

// Read implements Log.
func (m *Memory) Read(ctx context.Context, stream string, from int64, wait time.Duration) (Batch, error) {
	if err := m.applyDelay(ctx); err != nil {
		return Batch{}, errors.Wrapf(ErrUnavailable, "%v", err)
	}
	var timeout <-chan time.Time
	if wait > 0 {
		timeout = m.clock.After(wait)
	}
	for {
		batch, changed, err := m.read(stream, from)
		if err != nil || len(batch.Records) > 0 || wait <= 0 {
			return batch, err
		}
		select {
		case <-changed:
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
	m.expireByAge(s)
	batch := Batch{First: s.first, Next: s.next(), RetentionMillis: m.retention.Milliseconds()}
	start := min(max(from-s.first, 0), int64(len(s.records)))
	end := min(start+readLimit, int64(len(s.records)))
	batch.Records = append(batch.Records, s.records[start:end]...)
	return batch, s.changed, nil
}

func (m *Memory) isDown() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.down
}

// applyDelay waits for the delay set by SetDelay. It returns the context's error if ctx ends first.
func (m *Memory) applyDelay(ctx context.Context) error {
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
		s = &memoryStream{changed: make(chan struct{})}
		m.streams[name] = s
	}
	return s
}

// expireByAge removes the records that are older than the retention.
func (m *Memory) expireByAge(s *memoryStream) {
	oldest := m.clock.Now().Add(-m.retention).UnixMilli()
	n := 0
	for n < len(s.records) && s.records[n].AtMillis < oldest {
		n++
	}
	s.dropOldest(n)
}

func (s *memoryStream) dropOldest(n int) {
	s.first += int64(n)
	s.records = s.records[n:]
}

// notifyReaders wakes all waiting reads of the stream.
func (s *memoryStream) notifyReaders() {
	close(s.changed)
	s.changed = make(chan struct{})
}
