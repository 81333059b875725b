package logservice

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/hornbeamway/hornbeamway/pkg/platformlog"
)

// rateSeconds is the number of whole seconds over which the append rate is averaged.
const rateSeconds = 10

// stream is one append-only stream. Its records are in offset order.
type stream struct {
	first   int64
	records []platformlog.Record
	// changed is closed and replaced at every append, to wake long polls.
	changed chan struct{}
	total   int64
	// perSecond counts appends by second modulo its length; seconds holds the second that each bucket counts.
	perSecond [rateSeconds + 1]int64
	seconds   [rateSeconds + 1]int64
}

func newStream() *stream { return &stream{changed: make(chan struct{})} }

func (s *stream) next() int64 { return s.first + int64(len(s.records)) }

// dropBefore removes the records before offset. An offset beyond the head removes all records.
func (s *stream) dropBefore(offset int64) {
	offset = min(offset, s.next())
	if offset <= s.first {
		return
	}
	// The copy lets the memory of the dropped records go.
	s.records = append([]platformlog.Record(nil), s.records[offset-s.first:]...)
	s.first = offset
}

func (s *stream) count(now time.Time) {
	s.total++
	second := now.Unix()
	i := second % int64(len(s.perSecond))
	if s.seconds[i] != second {
		s.seconds[i], s.perSecond[i] = second, 0
	}
	s.perSecond[i]++
}

// rate returns the appends per second over the last whole seconds.
func (s *stream) rate(now time.Time) float64 {
	second, sum := now.Unix(), int64(0)
	for i := range s.perSecond {
		if age := second - s.seconds[i]; age >= 1 && age <= rateSeconds {
			sum += s.perSecond[i]
		}
	}
	return float64(sum) / rateSeconds
}

// store holds the streams. It is safe for concurrent use.
type store struct {
	mu         sync.Mutex
	streams    map[string]*stream
	maxRecords int
	maxAge     time.Duration
}

// get returns the named stream and creates it on first use; nil when there are too many streams. mu is held.
func (s *store) get(name string) *stream {
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

// append adds a record and returns its offset; false when there are too many streams.
func (s *store) append(now time.Time, name string, data json.RawMessage) (int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.get(name)
	if st == nil {
		return 0, false
	}
	offset := st.next()
	st.records = append(st.records, platformlog.Record{Offset: offset, AtMillis: now.UnixMilli(), Data: data})
	st.count(now)
	s.expireLocked(now, st)
	close(st.changed)
	st.changed = make(chan struct{})
	return offset, true
}

// read returns up to limit records from offset from on, and a channel that is closed at the next append.
func (s *store) read(now time.Time, name string, from int64, limit int) (platformlog.Batch, <-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.get(name)
	if st == nil {
		return platformlog.Batch{}, nil, false
	}
	s.expireLocked(now, st)
	batch := platformlog.Batch{First: st.first, Next: st.next(), RetentionMillis: s.maxAge.Milliseconds(), Records: []platformlog.Record{}}
	if start := max(from, st.first) - st.first; start < int64(len(st.records)) {
		end := min(start+int64(limit), int64(len(st.records)))
		batch.Records = append(batch.Records, st.records[start:end]...)
	}
	return batch, st.changed, true
}

// expireLocked applies both retention rules. mu is held.
func (s *store) expireLocked(now time.Time, st *stream) {
	oldest := now.Add(-s.maxAge).UnixMilli()
	drop := max(0, len(st.records)-s.maxRecords)
	for drop < len(st.records) && st.records[drop].AtMillis < oldest {
		drop++
	}
	// The slice is cut in place; append moves it to new memory when its capacity is used up.
	clear(st.records[:drop])
	st.records, st.first = st.records[drop:], st.first+int64(drop)
}

// expire drops the records of a stream before offset. An unknown stream is left alone.
func (s *store) expire(name string, before int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st, ok := s.streams[name]; ok {
		st.dropBefore(before)
	}
}

func (s *store) list(now time.Time) map[string]StreamInfo {
	s.mu.Lock()
	defer s.mu.Unlock()
	infos := make(map[string]StreamInfo, len(s.streams))
	for name, st := range s.streams {
		s.expireLocked(now, st)
		infos[name] = StreamInfo{
			First: st.first, Next: st.next(), Records: len(st.records), Appended: st.total, AppendedPerSecond: st.rate(now),
		}
	}
	return infos
}
