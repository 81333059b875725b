package operation

import (
	"container/list"
	"sync"
	"time"
)

// Bounds of the operation memory of one VM.
const (
	// maxEntries is the largest number of remembered keys.
	maxEntries = 100_000
	// maxAnswerBytes is the largest sum of kept answers.
	maxAnswerBytes = 32 << 20
	// maxAnswerSize is the largest body that is kept.
	maxAnswerSize = 64 << 10
	// headerOverhead is the assumed memory of one header besides its text.
	headerOverhead = 32
	// ticketRange is the index of the entries that are started by a ticket. They belong to no key range.
	ticketRange = RangeCount
	// wheelTick is the resolution of expiry; an entry is dropped up to one tick late, never early.
	wheelTick = time.Second
	// unknownWindow is the window of a key that may still run: a backend server may act on it until its deadline.
	unknownWindow = MemoryWindow + MaxDeadline
	// wheelSlots covers the longest window plus the tick that is being filled and the one being emptied.
	wheelSlots = int(unknownWindow/wheelTick) + 2
)

// Verdict says what to do with a request that carries a key.
type Verdict uint8

// The verdicts of Begin.
const (
	// Run: the key is unfamiliar and this VM may run it. The caller must end the entry with Finish, NotRun or Unknown.
	Run Verdict = iota
	// Replay: the key has run; the entry's answer is the first answer.
	Replay
	// InProgress: the key is being run.
	InProgress
	// Conflict: the key was used with another method, path or body.
	Conflict
	// Unknown: the key may have run.
	Unknown
	// Full: the memory holds no further key; the operation was not run.
	Full
	// AnswerNotKept: the key has run and its answer was too large or has been dropped.
	AnswerNotKept
	// Unavailable: the key is unfamiliar and this VM may not run it now: it does not hold the lease, or is handing the
	// range over. Earlier attempts may have run elsewhere.
	Unavailable
)

// Header is one header of a stored answer.
type Header struct {
	Name  string `json:"n"`
	Value string `json:"v"`
}

// Answer is the first answer to an operation.
type Answer struct {
	Status  int      `json:"status"`
	Headers []Header `json:"headers,omitempty"`
	// Trailers are sent behind the body.
	Trailers []Header `json:"trailers,omitempty"`
	// Body is kept up to 64 KiB. The ledger keeps the slice, so the caller must not change it afterwards.
	Body []byte `json:"body,omitempty"`
	// Truncated says that Body is not the whole body, so the answer must not be kept.
	Truncated bool `json:"-"`
}

func (a *Answer) size() int {
	n := len(a.Body)
	for _, headers := range [][]Header{a.Headers, a.Trailers} {
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

// Entry is the memory of one key. Its fields are guarded by the ledger.
type Entry struct {
	ledger      *Ledger
	key         string
	fingerprint uint64
	answer      *Answer
	kept        *list.Element
	// deadline and expires are measured from the ledger's start.
	deadline time.Duration
	expires  time.Duration
	keyRange uint8
	state    entryState
}

// Answer returns the kept answer, nil if there is none.
func (e *Entry) Answer() *Answer {
	e.ledger.mu.Lock()
	defer e.ledger.mu.Unlock()
	return e.answer
}

// Deadline returns the time after which the operation must not be written to a backend server.
func (e *Entry) Deadline() time.Time { return e.ledger.start.Add(e.deadline) }

// Ledger is the operation memory of one VM. All methods are O(1) amortised and safe for concurrent use.
type Ledger struct {
	mu       sync.Mutex
	start    time.Time
	entries  [RangeCount + 1]map[string]*Entry
	frozen   [RangeCount]bool
	count    int
	answers  *list.List
	kept     int
	wheel    [wheelSlots][]*Entry
	nextTick int64
	// maxEntries and maxAnswerBytes are the package's bounds; tests lower them.
	maxEntries, maxAnswerBytes int
}

// NewLedger returns an empty memory. Times are measured from start.
func NewLedger(start time.Time) *Ledger {
	l := &Ledger{start: start, answers: list.New(), maxEntries: maxEntries, maxAnswerBytes: maxAnswerBytes}
	for i := range l.entries {
		l.entries[i] = map[string]*Entry{}
	}
	return l
}

// admission tells the verdict for an unfamiliar key; Run admits it.
type admission func() Verdict

// begin looks key up and starts it if it is unfamiliar and admit agrees.
func (l *Ledger) begin(now time.Time, keyRange int, key string, fingerprint uint64, deadline time.Time, admit admission) (*Entry, Verdict) {
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
	case e.answer == nil:
		return AnswerNotKept
	}
	return Replay
}

// current reports whether e is still the memory of its key; it is not after its range has been handed over.
func (l *Ledger) current(e *Entry) bool { return l.entries[e.keyRange][e.key] == e }

// finish records the answer of a running entry.
func (l *Ledger) finish(now time.Time, e *Entry, a Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e.state != stateRunning || !l.current(e) {
		return
	}
	e.state = stateDone
	l.expire(now)
	l.keep(e, &a)
	l.schedule(e, now.Sub(l.start)+MemoryWindow)
}

// markUnknown records that a running entry may have run.
func (l *Ledger) markUnknown(now time.Time, e *Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e.state != stateRunning || !l.current(e) {
		return
	}
	e.state = stateUnknown
	l.expire(now)
	l.schedule(e, now.Sub(l.start)+unknownWindow)
}

// notRun removes a running entry that is proved not to have run. False: the entry is no longer this ledger's to remove.
func (l *Ledger) notRun(e *Entry) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e.state != stateRunning || !l.current(e) {
		return false
	}
	l.remove(e)
	return true
}

func (l *Ledger) remove(e *Entry) {
	delete(l.entries[e.keyRange], e.key)
	l.count--
	l.dropAnswer(e)
}

// keep stores a small answer and drops the oldest ones that no longer fit.
func (l *Ledger) keep(e *Entry, a *Answer) {
	if a.Truncated || len(a.Body) > maxAnswerSize || a.size() > l.maxAnswerBytes {
		return
	}
	e.answer = a
	e.kept = l.answers.PushBack(e)
	l.kept += a.size()
	for l.kept > l.maxAnswerBytes {
		l.dropAnswer(l.answers.Front().Value.(*Entry))
	}
}

func (l *Ledger) dropAnswer(e *Entry) {
	if e.kept == nil {
		return
	}
	l.answers.Remove(e.kept)
	l.kept -= e.answer.size()
	e.answer, e.kept = nil, nil
}

// schedule sets the end of the window of a finished entry, at most unknownWindow ahead. The wheel must have been advanced
// by expire, or the entry would share a slot with older ones and be dropped early.
func (l *Ledger) schedule(e *Entry, expires time.Duration) {
	e.expires = expires
	tick := max(int64(expires/wheelTick), l.nextTick)
	slot := tick % int64(wheelSlots)
	l.wheel[slot] = append(l.wheel[slot], e)
}

// expire drops the entries whose window has ended. The work per call is bounded by what was added before.
func (l *Ledger) expire(now time.Time) {
	tick := int64(now.Sub(l.start) / wheelTick)
	if tick-l.nextTick > int64(wheelSlots) {
		// After a long pause every slot is visited once.
		l.nextTick = tick - int64(wheelSlots)
	}
	for ; l.nextTick < tick; l.nextTick++ {
		slot := l.nextTick % int64(wheelSlots)
		for _, e := range l.wheel[slot] {
			if l.current(e) {
				l.remove(e)
			}
		}
		l.wheel[slot] = nil
	}
}

// Len returns the number of remembered keys and the bytes of kept answers.
func (l *Ledger) Len() (keys, answerBytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.count, l.kept
}
