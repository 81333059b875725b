package logservice

import (
	"encoding/base64"
	"encoding/binary"
	"slices"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v3"
)

// keyedPrefix begins the names of topics that keep the newest record of each key.
const keyedPrefix = "keyed."

// Limits of one call on topics.
const (
	recordHeader    = 4
	newestPage      = 500
	defaultMaxKB    = 1024
	maxTopics       = 100
	bytesPerKB      = 1024
	readAnswerBytes = 16
)

// topics are logs of raw records, as the users' platform has them; each has one partition.
type topics struct {
	mu   sync.Mutex
	logs map[string]*topicLog
}

type topicLog struct {
	first   int64
	records [][]byte
}

func newTopics() *topics { return &topics{logs: map[string]*topicLog{}} }

// append adds records and returns the offset of the first and the end.
func (t *topics) append(topic string, records [][]byte) (first, end int64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l, known := t.logs[topic]
	if !known {
		if len(t.logs) >= maxTopics {
			return 0, 0, false
		}
		l = &topicLog{}
		t.logs[topic] = l
	}
	first = l.first + int64(len(l.records))
	l.records = append(l.records, records...)
	return first, l.first + int64(len(l.records)), true
}

// read returns records from an offset on, up to maxBytes; expired says that they are no longer kept.
func (t *topics) read(topic string, from int64, maxBytes int) (records [][]byte, first, end int64, expired bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l, known := t.logs[topic]
	if !known {
		return nil, 0, 0, false
	}
	end = l.first + int64(len(l.records))
	if from < l.first {
		return nil, l.first, end, true
	}
	for offset := from; offset < end; offset++ {
		record := l.records[offset-l.first]
		maxBytes -= len(record) + recordHeader
		if maxBytes < 0 && len(records) > 0 {
			break
		}
		records = append(records, record)
	}
	return records, l.first, end, false
}

// keyedRecord is the newest record of a key. Value is in base64.
type keyedRecord struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Offset int64  `json:"offset"`
}

// newest returns the newest records of the keys behind after, in the order of the keys.
func (t *topics) newest(topic, after string) (items []keyedRecord, more bool, end int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l, known := t.logs[topic]
	if !known {
		return []keyedRecord{}, false, 0
	}
	found := map[string]keyedRecord{}
	for i, record := range l.records {
		key, value, ok := splitKeyed(record)
		switch {
		case !ok:
		case len(value) == 0:
			delete(found, key)
		default:
			found[key] = keyedRecord{Key: key, Value: base64.StdEncoding.EncodeToString(value), Offset: l.first + int64(i)}
		}
	}
	items = []keyedRecord{}
	for key, item := range found {
		if key > after {
			items = append(items, item)
		}
	}
	slices.SortFunc(items, func(a, b keyedRecord) int { return strings.Compare(a.Key, b.Key) })
	if len(items) > newestPage {
		items, more = items[:newestPage], true
	}
	return items, more, l.first + int64(len(l.records))
}

// compact drops the records of a keyed topic that are not the newest of their key; reads before the end then fail.
func (t *topics) compact(topic string) {
	items, _, end := t.newest(topic, "")
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
			l.records = append(l.records, joinKeyed(item.Key, value))
		}
	}
}

func splitKeyed(record []byte) (key string, value []byte, ok bool) {
	if len(record) == 0 || int(record[0]) > len(record)-1 {
		return "", nil, false
	}
	end := 1 + int(record[0])
	return string(record[1:end]), record[end:], true
}

func joinKeyed(key string, value []byte) []byte {
	return append(append([]byte{byte(len(key))}, key...), value...)
}

// Put appends a record of a keyed topic, as an operator or a backend server does. An empty value drops the key.
func (s *Service) Put(topic, key string, value []byte) {
	s.topics.append(topic, [][]byte{joinKeyed(key, value)})
}

// Compact drops the history of a keyed topic.
func (s *Service) Compact(topic string) { s.topics.compact(topic) }

func (s *Service) topicRoutes(app *fiber.App) {
	app.Post("/log-append", s.applyFaults, s.appendRaw)
	app.Get("/log-read", s.applyFaults, s.readRaw)
	app.Get("/log-newest", s.applyFaults, s.newestOf)
	app.Post("/topics/compact", func(c fiber.Ctx) error {
		s.Compact(c.Query("topic"))
		return nil
	})
}

var errRecords = errors.New("malformed records")

// splitRecords reads the body of an append: each record behind its length.
func splitRecords(body []byte) ([][]byte, error) {
	var records [][]byte
	for len(body) > 0 {
		if len(body) < recordHeader {
			return nil, errRecords
		}
		length := int(binary.BigEndian.Uint32(body))
		body = body[recordHeader:]
		if length < 0 || length > len(body) {
			return nil, errRecords
		}
		records = append(records, slices.Clone(body[:length]))
		body = body[length:]
	}
	return records, nil
}

func (s *Service) appendRaw(c fiber.Ctx) error {
	records, err := splitRecords(c.Body())
	if err != nil || c.Query("topic") == "" {
		return fiber.NewError(fiber.StatusBadRequest, "malformed append")
	}
	offset, end, ok := s.topics.append(c.Query("topic"), records)
	if !ok {
		return fiber.NewError(fiber.StatusInsufficientStorage, "too many topics")
	}
	if s.faults.loseAnswer() {
		return dropConnection(c)
	}
	return c.JSON(map[string]int64{"offset": offset, "end": end})
}

// readRaw answers at once; the product does not ask it to wait.
func (s *Service) readRaw(c fiber.Ctx) error {
	from := fiber.Query[int64](c, "from", 0)
	records, first, end, expired := s.topics.read(c.Query("topic"), from, bytesPerKB*fiber.Query[int](c, "max_kb", defaultMaxKB))
	if expired {
		return c.Status(fiber.StatusGone).JSON(map[string]int64{"first": first})
	}
	answer := make([]byte, 0, readAnswerBytes)
	answer = binary.BigEndian.AppendUint64(answer, uint64(end))
	answer = binary.BigEndian.AppendUint64(answer, uint64(first))
	for _, record := range records {
		answer = append(binary.BigEndian.AppendUint32(answer, uint32(len(record))), record...)
	}
	return c.Send(answer)
}

func (s *Service) newestOf(c fiber.Ctx) error {
	topic := c.Query("topic")
	if !strings.HasPrefix(topic, keyedPrefix) {
		return fiber.NewError(fiber.StatusBadRequest, "topic has no keys")
	}
	items, more, end := s.topics.newest(topic, c.Query("after"))
	return c.JSON(map[string]any{"items": items, "more": more, "end": end})
}
