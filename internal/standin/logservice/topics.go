package logservice

import (
	"encoding/base64"
	"encoding/binary"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v3"
)

// keyedPrefix is the name prefix of keyed topics, which retain the newest record of each key.
const keyedPrefix = "keyed."

// Sizes and limits of the requests for topics.
const (
	recordHeaderBytes = 4
	newestPageSize    = 500
	defaultMaxKB      = 1024
	maxTopics         = 100
	bytesPerKB        = 1024
	readHeaderBytes   = 16
)

// topics holds the topics: logs of raw records with one partition each, as on the users' platform. It is safe for concurrent
// use.
type topics struct {
	mu   sync.Mutex
	logs map[string]*topicLog
	// era is stated in all responses; 0: it is not stated.
	era int64
}

// topicLog holds the records of a topic; first is the offset of the first one.
type topicLog struct {
	first   int64
	records [][]byte
}

func newTopics(era int64) *topics { return &topics{logs: map[string]*topicLog{}, era: era} }

// TopicsCopy is a copy of all topics at one time.
type TopicsCopy struct{ logs map[string]*topicLog }

// copyLogs returns a copy of the logs. Records are immutable and are shared.
func copyLogs(logs map[string]*topicLog) map[string]*topicLog {
	copied := make(map[string]*topicLog, len(logs))
	for name, l := range logs {
		copied[name] = &topicLog{first: l.first, records: slices.Clone(l.records)}
	}
	return copied
}

// copy returns a copy of all topics.
func (t *topics) copy() *TopicsCopy {
	t.mu.Lock()
	defer t.mu.Unlock()
	return &TopicsCopy{logs: copyLogs(t.logs)}
}

// restore replaces all topics by a copy of them and raises the era.
func (t *topics) restore(c *TopicsCopy) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.logs = copyLogs(c.logs)
	t.era++
}

// currentEra returns the era; 0: it is not stated.
func (t *topics) currentEra() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.era
}

// append adds records. It returns the offset of the first one, the end offset and the era, or false if there are too many topics.
func (t *topics) append(topic string, records [][]byte) (first, end, era int64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l, exists := t.logs[topic]
	if !exists {
		if len(t.logs) >= maxTopics {
			return 0, 0, t.era, false
		}
		l = &topicLog{}
		t.logs[topic] = l
	}
	first = l.first + int64(len(l.records))
	l.records = append(l.records, records...)
	return first, l.first + int64(len(l.records)), t.era, true
}

// topicRead is the result of a read of a topic.
type topicRead struct {
	records [][]byte
	// first and end are the offsets of the first record of the topic and after the last one.
	first, end int64
	era        int64
	// expired is set if the topic has no record at the offset and will not have it next: it is no longer retained, or was lost when a
	// copy was restored.
	expired bool
}

// read returns records starting at an offset, up to maxBytes but at least one.
func (t *topics) read(topic string, from int64, maxBytes int) topicRead {
	t.mu.Lock()
	defer t.mu.Unlock()
	l, exists := t.logs[topic]
	if !exists {
		l = &topicLog{}
	}
	r := topicRead{first: l.first, end: l.first + int64(len(l.records)), era: t.era}
	if from < r.first || from > r.end {
		r.expired = true
		return r
	}
	for offset := from; offset < r.end; offset++ {
		record := l.records[offset-l.first]
		maxBytes -= len(record) + recordHeaderBytes
		if maxBytes < 0 && len(r.records) > 0 {
			break
		}
		r.records = append(r.records, record)
	}
	return r
}

// keyedRecord is the newest record of a key. Value is encoded in base64.
type keyedRecord struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Offset int64  `json:"offset"`
}

// newest returns a page of the newest records of the keys that are greater than after, ordered by key. more is set if there
// are further ones; end is the end offset of the topic. An empty value deletes its key.
func (t *topics) newest(topic, after string) (items []keyedRecord, more bool, end, era int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l, exists := t.logs[topic]
	if !exists {
		return []keyedRecord{}, false, 0, t.era
	}
	newest := map[string]keyedRecord{}
	for i, record := range l.records {
		key, value, ok := splitKeyedRecord(record)
		switch {
		case !ok:
		case len(value) == 0:
			delete(newest, key)
		default:
			newest[key] = keyedRecord{Key: key, Value: base64.StdEncoding.EncodeToString(value), Offset: l.first + int64(i)}
		}
	}
	items = []keyedRecord{}
	for key, item := range newest {
		if key > after {
			items = append(items, item)
		}
	}
	slices.SortFunc(items, func(a, b keyedRecord) int { return strings.Compare(a.Key, b.Key) })
	if len(items) > newestPageSize {
		items, more = items[:newestPageSize], true
	}
	return items, more, l.first + int64(len(l.records)), t.era
}

// compact drops all but the newest record of each key of a keyed topic. Reads from an offset before the previous end then
// return expired.
func (t *topics) compact(topic string) {
	items, _, end, _ := t.newest(topic, "")
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.logs[topic]
	if l == nil {
		return
	}
	l.first, l.records = end, nil
	for _, item := range items {
		value, err := base64.StdEncoding.DecodeString(item.Value)
		if err == nil {
			l.records = append(l.records, joinKeyedRecord(item.Key, value))
		}
	}
}

// splitKeyedRecord decodes a record of a keyed topic: the length of the key in one byte, the key and the value.
func splitKeyedRecord(record []byte) (key string, value []byte, ok bool) {
	if len(record) == 0 || int(record[0]) > len(record)-1 {
		return "", nil, false
	}
	end := 1 + int(record[0])
	return string(record[1:end]), record[end:], true
}

// joinKeyedRecord encodes a record of a keyed topic.
func joinKeyedRecord(key string, value []byte) []byte {
	return append(append([]byte{byte(len(key))}, key...), value...)
}

// Put appends a record to a keyed topic, as an operator or a backend server does, and returns its offset. An empty value deletes the key.
func (s *Service) Put(topic, key string, value []byte) (offset int64) {
	offset, _, _, _ = s.topics.append(topic, [][]byte{joinKeyedRecord(key, value)})
	return offset
}

// Newest returns the value of the newest record of a key, nil if there is none.
func (s *Service) Newest(topic, key string) []byte {
	items, _, _, _ := s.topics.newest(topic, "")
	for _, item := range items {
		if item.Key == key {
			value, _ := base64.StdEncoding.DecodeString(item.Value)
			return value
		}
	}
	return nil
}

// CopyTopics returns a copy of all topics, for RestoreTopics.
func (s *Service) CopyTopics() *TopicsCopy { return s.topics.copy() }

// RestoreTopics replaces all topics by an earlier copy and raises the era: what was written since is lost, and its offsets are given out
// again.
func (s *Service) RestoreTopics(c *TopicsCopy) { s.topics.restore(c) }

// Era returns the era that responses on topics state; 0: they state none.
func (s *Service) Era() int64 { return s.topics.currentEra() }

// headerEra holds the era of the topics in all responses of their routes.
const headerEra = "Store-Era"

// stateEra adds the era to the response, also to one that refuses the request. Handlers that use a topic replace it by the era in which
// they did.
func (s *Service) stateEra(c fiber.Ctx) error {
	setEra(c, s.Era())
	return c.Next()
}

func setEra(c fiber.Ctx, era int64) {
	if era > 0 {
		c.Set(headerEra, strconv.FormatInt(era, 10))
	}
}

// Compact drops all but the newest record of each key of a keyed topic.
func (s *Service) Compact(topic string) { s.topics.compact(topic) }

// addTopicRoutes adds the routes of the topics.
func (s *Service) addTopicRoutes(app *fiber.App) {
	app.Post("/log-append", s.stateEra, s.applyFaults, s.appendToTopic)
	app.Get("/log-read", s.stateEra, s.applyFaults, s.readTopic)
	app.Get("/log-newest", s.stateEra, s.applyFaults, s.newestOfTopic)
	app.Post("/topics/compact", func(c fiber.Ctx) error {
		s.Compact(c.Query("topic"))
		return nil
	})
}

// errMalformedRecords is returned for an append whose body cannot be decoded.
var errMalformedRecords = errors.New("malformed records")

// splitRecords decodes the body of an append, in which each record is prefixed with its length.
func splitRecords(body []byte) ([][]byte, error) {
	var records [][]byte
	for len(body) > 0 {
		if len(body) < recordHeaderBytes {
			return nil, errMalformedRecords
		}
		length := int(binary.BigEndian.Uint32(body))
		body = body[recordHeaderBytes:]
		if length < 0 || length > len(body) {
			return nil, errMalformedRecords
		}
		records = append(records, slices.Clone(body[:length]))
		body = body[length:]
	}
	return records, nil
}

// appendToTopic handles POST /log-append.
func (s *Service) appendToTopic(c fiber.Ctx) error {
	records, err := splitRecords(c.Body())
	if err != nil || c.Query("topic") == "" {
		return fiber.NewError(fiber.StatusBadRequest, "malformed append")
	}
	offset, end, era, ok := s.topics.append(c.Query("topic"), records)
	setEra(c, era)
	if !ok {
		return fiber.NewError(fiber.StatusInsufficientStorage, "too many topics")
	}
	if s.faults.shouldLoseResponse() {
		return dropConnection(c)
	}
	return c.JSON(map[string]int64{"offset": offset, "end": end})
}

// readTopic handles GET /log-read and responds immediately. Long polling is not simulated, because the entry VMs do not
// request it.
func (s *Service) readTopic(c fiber.Ctx) error {
	from := fiber.Query[int64](c, "from", 0)
	r := s.topics.read(c.Query("topic"), from, bytesPerKB*fiber.Query[int](c, "max_kb", defaultMaxKB))
	setEra(c, r.era)
	if r.expired {
		return c.Status(fiber.StatusGone).JSON(map[string]int64{"first": r.first})
	}
	response := make([]byte, 0, readHeaderBytes)
	response = binary.BigEndian.AppendUint64(response, uint64(r.end))
	response = binary.BigEndian.AppendUint64(response, uint64(r.first))
	for _, record := range r.records {
		response = append(binary.BigEndian.AppendUint32(response, uint32(len(record))), record...)
	}
	return c.Send(response)
}

// newestOfTopic handles GET /log-newest.
func (s *Service) newestOfTopic(c fiber.Ctx) error {
	topic := c.Query("topic")
	if !strings.HasPrefix(topic, keyedPrefix) {
		return fiber.NewError(fiber.StatusBadRequest, "topic has no keys")
	}
	items, more, end, era := s.topics.newest(topic, c.Query("after"))
	setEra(c, era)
	return c.JSON(map[string]any{"items": items, "more": more, "end": end})
}
