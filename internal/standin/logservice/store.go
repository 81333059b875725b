package logservice

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/hornbeamway/hornbeamway/pkg/platformlog"
)

// rateSeconds is the number of whole seconds over which the append rate is averaged.
const rateSeconds = 10

// stream is an append-only stream. Its records are ordered by offset.
type stream struct {
	first   int64
	records []platformlog.Record
	// changed is closed and replaced at every append, to wake up long polls.
	changed      chan struct{}
	totalAppends int64
	// appendCounts counts the appends per second in buckets, indexed by the second modulo the number of buckets.
	// appendSeconds holds the second that each bucket belongs to.
	appendCounts  [rateSeconds + 1]int64
	appendSeconds [rateSeconds + 1]int64
}

func newStream() *stream { return &stream{changed: make(chan struct{})} }

// next returns the offset of the next record.
func (s *stream) next() int64 { return s.first + int64(len(s.records)) }

// dropRecordsBefore removes the records before offset. An offset beyond the end of the stream removes all records.
func (s *stream) dropRecordsBefore(offset int64) {
	offset = min(offset, s.next())
	if offset <= s.first {
		return
	}
	// Copying releases the memory of the dropped records.
	s.records = append([]platformlog.Record(nil), s.records[offset-s.first:]...)
	s.first = offset
}

// countAppend counts an append in the total and in the bucket of the current second.
func (s *stream) countAppend(now time.Time) {
	s.totalAppends++
	second := now.Unix()
	i := second % int64(len(s.appendCounts))
	if s.appendSeconds[i] != second {
		s.appendSeconds[i], s.appendCounts[i] = second, 0
	}
	s.appendCounts[i]++
}

// appendRate returns the mean number of appends per second over the last rateSeconds whole seconds.
func (s *stream) appendRate(now time.Time) float64 {
	second, appends := now.Unix(), int64(0)
	for i := range s.appendCounts {
		if age := second - s.appendSeconds[i]; age >= 1 && age <= rateSeconds {
			appends += s.appendCounts[i]
		}
	}
	return float64(appends) / rateSeconds
}

// store holds the streams. It is safe for concurrent use.
type store struct {
	mu         sync.Mutex
	streams    map[string]*stream
	maxRecords int
	maxAge     time.Duration
}

// getOrCreateLocked returns the named stream and creates it if needed. It returns nil if that would exceed maxStreams. The
// caller must hold mu.
func (s *store) getOrCreateLocked(name string) *stream {
	st, ok := s.streams[name]
	if !ok {
		if len(s.streams) >= maxStreams {
			return nil
		}
		st = newStream()
		s.streams[name] = st
	}
	return st
}

// append adds a record and returns its offset, or false if there are too many streams.
func (s *store) append(now time.Time, name string, data json.RawMessage) (int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.getOrCreateLocked(name)
	if st == nil {
		return 0, false
	}
	offset := st.next()
	st.records = append(st.records, platformlog.Record{Offset: offset, AtMillis: now.UnixMilli(), Data: data})
	st.countAppend(now)
	s.expireLocked(now, st)
	close(st.changed)
	st.changed = make(chan struct{})
	return offset, true
}

// read returns up to limit records starting at offset from, and a channel that is closed at the next append. It returns
// false if there are too many streams.
func (s *store) read(now time.Time, name string, from int64, limit int) (platformlog.Batch, <-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.getOrCreateLocked(name)
	if st == nil {
		return platformlog.Batch{}, nil, false
	}
	s.expireLocked(now, st)
	batch := platformlog.Batch{
		First: st.first, Next: st.next(), RetentionMillis: s.maxAge.Milliseconds(), Records: []platformlog.Record{},
	}
	if start := max(from, st.first) - st.first; start < int64(len(st.records)) {
		end := min(start+int64(limit), int64(len(st.records)))
		batch.Records = append(batch.Records, st.records[start:end]...)
	}
	return batch, st.changed, true
}

// expireLocked drops records that exceed the maximum number or age. The caller must hold mu.
func (s *store) expireLocked(now time.Time, st *stream) {
	oldest := now.Add(-s.maxAge).UnixMilli()
	expired := max(0, len(st.records)-s.maxRecords)
	for expired < len(st.records) && st.records[expired].AtMillis < oldest {
		expired++
	}
	// The slice is truncated in place; append moves it to new memory when its capacity is exhausted.
	clear(st.records[:expired])
	st.records, st.first = st.records[expired:], st.first+int64(expired)
}

// expire drops the records of a stream before an offset. It does nothing if the stream does not exist.
func (s *store) expire(name string, before int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st, ok := s.streams[name]; ok {
		st.dropRecordsBefore(before)
	}
}

// list describes all streams by name.
func (s *store) list(now time.Time) map[string]StreamInfo {
	s.mu.Lock()
	defer s.mu.Unlock()
	infos := make(map[string]StreamInfo, len(s.streams))
	for name, st := range s.streams {
		s.expireLocked(now, st)
		infos[name] = StreamInfo{
			First: st.first, Next: st.next(), Records: len(st.records), Appended: st.totalAppends,
			AppendedPerSecond: st.appendRate(now),
		}
	}
	return infos
}
