package operation

import (
	"container/list"
	"sync"
	"time"
)

// Limits of the operation memory of one VM.
const (
	// maxEntries is the maximum number of keys.
	maxEntries = 100_000
	// maxResponseBytes is the maximum total size of stored responses in bytes.
	maxResponseBytes = 32 << 20
	// maxResponseSize is the maximum size of a stored response body in bytes.
	maxResponseSize = 64 << 10
	// headerOverhead is the assumed memory of one header in bytes in addition to its text.
	headerOverhead = 32
	// ticketRange is the index of the entries that were started with a ticket. They belong to no key range.
	ticketRange = RangeCount
	// wheelTick is the resolution of expiry; an entry is removed up to one tick late, never early.
	wheelTick = time.Second
	// unknownWindow is the window of a key with an unknown outcome. The key may still run: a backend server may act on it
	// until its deadline.
	unknownWindow = MemoryWindow + MaxDeadline
	// wheelSlots is the number of ticks in the longest window plus the tick that is being filled and the one being emptied.
	wheelSlots = int(unknownWindow/wheelTick) + 2
)

// Verdict is the decision about a request with an idempotency key.
type Verdict uint8

// The verdicts of Begin.
const (
	// Run: the key is new and this VM may run it. The caller must end the entry with Finish, MarkNotRun or MarkUnknown.
	Run Verdict = iota
	// Replay: the key has run; the entry contains the first response.
	Replay
	// InProgress: the key is running.
	InProgress
	// Conflict: the key was used with another method, path or body.
	Conflict
	// Unknown: the key may have run.
	Unknown
	// Full: the memory has no room for another key; the operation was not run.
	Full
	// ResponseNotStored: the key has run and its response was too large to store or has been evicted.
	ResponseNotStored
	// Unavailable: the key is new and this VM may not run it now: it does not hold the lease, or is handing over the range.
	// Earlier attempts may have run on another VM.
	Unavailable
)

// Header is one header of a stored response.
type Header struct {
	Name  string `json:"n"`
	Value string `json:"v"`
}

// Response is the response to the first run of an operation.
type Response struct {
	Status  int      `json:"status"`
	Headers []Header `json:"headers,omitempty"`
	// Trailers are sent after the body.
	Trailers []Header `json:"trailers,omitempty"`
	// Body is stored up to 64 KiB. The ledger retains the slice, so the caller must not modify it afterwards.
	Body []byte `json:"body,omitempty"`
	// Truncated reports whether Body is incomplete, in which case the response is not stored.
	Truncated bool `json:"-"`
}

func (r *Response) size() int {
	n := len(r.Body)
	for _, headers := range [][]Header{r.Headers, r.Trailers} {
		for _, h := range headers {
			n += len(h.Name) + len(h.Value) + headerOverhead
		}
	}
	return n
}

type entryState uint8

const (
	stateRunning entryState = iota
	stateDone
	stateUnknown
)

// Entry is the stored state of one key. Its fields are guarded by the ledger's mutex.
type Entry struct {
	ledger          *Ledger
	key             string
	fingerprint     uint64
	response        *Response
	responseElement *list.Element
	// deadline and expires are durations since the ledger's start.
	deadline time.Duration
	expires  time.Duration
	keyRange uint8
	state    entryState
}

// Response returns the stored response, nil if there is none.
func (e *Entry) Response() *Response {
	e.ledger.mu.Lock()
	defer e.ledger.mu.Unlock()
	return e.response
}

// Deadline returns the time after which the operation must not be written to a backend server.
func (e *Entry) Deadline() time.Time { return e.ledger.start.Add(e.deadline) }

// Ledger is the operation memory of one VM. All methods are O(1) amortised and safe for concurrent use.
type Ledger struct {
	mu            sync.Mutex
	start         time.Time
	entries       [RangeCount + 1]map[string]*Entry
	frozen        [RangeCount]bool
	count         int
	responseOrder *list.List
	responseBytes int
	wheel         [wheelSlots][]*Entry
	nextTick      int64
	// maxEntries and maxResponseBytes are the constants of the same names; tests lower them.
	maxEntries, maxResponseBytes int
}

// NewLedger returns an empty ledger. Its times are measured from start.
func NewLedger(start time.Time) *Ledger {
	l := &Ledger{start: start, responseOrder: list.New(), maxEntries: maxEntries, maxResponseBytes: maxResponseBytes}
	for i := range l.entries {
		l.entries[i] = map[string]*Entry{}
	}
	return l
}

// admitFunc returns the verdict for a new key; Run admits it.
type admitFunc func() Verdict

// begin looks up key and starts it if it is new and admit returns Run.
func (l *Ledger) begin(now time.Time, keyRange int, key string, fingerprint uint64, deadline time.Time,
	admit admitFunc) (*Entry, Verdict) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	if e, ok := l.entries[keyRange][key]; ok {
		return e, e.verdict(fingerprint)
	}
	if keyRange != ticketRange && l.frozen[keyRange] {
		return nil, Unavailable
	}
	if v := admit(); v != Run {
		return nil, v
	}
	if l.count >= l.maxEntries {
		return nil, Full
	}
	e := &Entry{ledger: l, key: key, fingerprint: fingerprint, deadline: deadline.Sub(l.start), keyRange: uint8(keyRange)}
	l.entries[keyRange][key] = e
	l.count++
	return e, Run
}

func (e *Entry) verdict(fingerprint uint64) Verdict {
	switch {
	case e.fingerprint != fingerprint:
		return Conflict
	case e.state == stateRunning:
		return InProgress
	case e.state == stateUnknown:
		return Unknown
	case e.response == nil:
		return ResponseNotStored
	}
	return Replay
}

// isCurrent reports whether e is still the entry of its key. It is not after its range has been handed over.
func (l *Ledger) isCurrent(e *Entry) bool { return l.entries[e.keyRange][e.key] == e }

// finish records the response to the operation of a running entry.
func (l *Ledger) finish(now time.Time, e *Entry, r Response) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e.state != stateRunning || !l.isCurrent(e) {
		return
	}
	e.state = stateDone
	l.expire(now)
	l.storeResponse(e, &r)
	l.scheduleExpiry(e, now.Sub(l.start)+MemoryWindow)
}

// markUnknown records that a running entry may have run.
func (l *Ledger) markUnknown(now time.Time, e *Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e.state != stateRunning || !l.isCurrent(e) {
		return
	}
	e.state = stateUnknown
	l.expire(now)
	l.scheduleExpiry(e, now.Sub(l.start)+unknownWindow)
}

// notRun removes a running entry that is proved not to have run. It returns false if the entry is no longer running or no
// longer in the ledger.
func (l *Ledger) notRun(e *Entry) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e.state != stateRunning || !l.isCurrent(e) {
		return false
	}
	l.remove(e)
	return true
}

func (l *Ledger) remove(e *Entry) {
	delete(l.entries[e.keyRange], e.key)
	l.count--
	l.dropResponse(e)
}

// storeResponse stores a response unless it is too large, and evicts the oldest responses until the total is within the limit.
func (l *Ledger) storeResponse(e *Entry, r *Response) {
	if r.Truncated || len(r.Body) > maxResponseSize || r.size() > l.maxResponseBytes {
		return
	}
	e.response = r
	e.responseElement = l.responseOrder.PushBack(e)
	l.responseBytes += r.size()
	for l.responseBytes > l.maxResponseBytes {
		l.dropResponse(l.responseOrder.Front().Value.(*Entry))
	}
}

func (l *Ledger) dropResponse(e *Entry) {
	if e.responseElement == nil {
		return
	}
	l.responseOrder.Remove(e.responseElement)
	l.responseBytes -= e.response.size()
	e.response, e.responseElement = nil, nil
}

// scheduleExpiry sets the end of the window of a finished entry, at most unknownWindow ahead. The caller must call expire
// first; otherwise the entry could share a slot of the wheel with older entries and be removed early.
func (l *Ledger) scheduleExpiry(e *Entry, expires time.Duration) {
	e.expires = expires
	tick := max(int64(expires/wheelTick), l.nextTick)
	slot := tick % int64(wheelSlots)
	l.wheel[slot] = append(l.wheel[slot], e)
}

// expire removes the entries whose window has ended. The work per call is bounded by the number of entries added before.
func (l *Ledger) expire(now time.Time) {
	tick := int64(now.Sub(l.start) / wheelTick)
	if tick-l.nextTick > int64(wheelSlots) {
		// After a long pause, each slot is visited only once.
		l.nextTick = tick - int64(wheelSlots)
	}
	for ; l.nextTick < tick; l.nextTick++ {
		slot := l.nextTick % int64(wheelSlots)
		for _, e := range l.wheel[slot] {
			if l.isCurrent(e) {
				l.remove(e)
			}
		}
		l.wheel[slot] = nil
	}
}

// Len returns the number of keys and the total size of the stored responses in bytes.
func (l *Ledger) Len() (keys, responseBytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.count, l.responseBytes
}
