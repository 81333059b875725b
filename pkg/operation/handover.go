package operation

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Limits of one chunk of a handover.
const (
	maxChunkEntries = 500
	maxChunkBytes   = 256 << 10
)

// ErrHandoverRefused reports a chunk that the receiver does not accept: the chunk is invalid or out of order, or the
// receiver is draining or behind the log's head, or its operation memory is full.
var ErrHandoverRefused = errors.New("operation handover refused")

// Peers sends requests about key ranges to other VMs.
type Peers interface {
	// Handover sends a chunk to a VM and returns once the VM has stored it.
	Handover(ctx context.Context, vm string, chunk Chunk) error
	// RequestExtension requests a lease extension from a VM. It returns nil if the VM promised not to claim the ranges of r
	// for TakeoverDelay.
	RequestExtension(ctx context.Context, vm string, r ExtensionRequest) error
}

// Chunk is one part of the memory of a range.
type Chunk struct {
	Range int `json:"range"`
	// Handover identifies the transfer that the chunk belongs to.
	Handover string `json:"handover"`
	// Index numbers the chunks of one handover from 0; Last marks the last chunk.
	Index int  `json:"index"`
	Last  bool `json:"last"`
	// WindowLeftMillis is the rest of the sender's own window after an unclean takeover, in milliseconds.
	WindowLeftMillis int64        `json:"windowLeftMs,omitempty"`
	Entries          []ChunkEntry `json:"entries,omitempty"`
}

// ChunkEntry is the entry of one key.
type ChunkEntry struct {
	Key         string    `json:"k"`
	Fingerprint uint64    `json:"f"`
	Unknown     bool      `json:"u,omitempty"`
	Response    *Response `json:"a,omitempty"`
	// LeftMillis is the rest of the entry's window in milliseconds. The receiver measures it from the arrival, so the
	// transit time only lengthens it.
	LeftMillis int64 `json:"leftMs"`
}

// setFrozen forbids or allows the start of new keys of a range.
func (l *Ledger) setFrozen(keyRange int, frozen bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.frozen[keyRange] = frozen
}

// runningCount returns the number of running entries of a range.
func (l *Ledger) runningCount(keyRange int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, e := range l.entries[keyRange] {
		if e.state == stateRunning {
			n++
		}
	}
	return n
}

// export returns the memory of a frozen range as one or more chunks. A running entry is exported as unknown.
func (l *Ledger) export(now time.Time, keyRange int, handover string, windowLeft time.Duration) []Chunk {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	newChunk := func(index int) Chunk {
		return Chunk{Range: keyRange, Handover: handover, Index: index, WindowLeftMillis: max(0, windowLeft.Milliseconds()+1)}
	}
	chunks, size := []Chunk{newChunk(0)}, 0
	for _, e := range l.entries[keyRange] {
		c := l.exportEntry(now, e)
		entrySize := len(c.Key)
		if c.Response != nil {
			entrySize += c.Response.size()
		}
		last := &chunks[len(chunks)-1]
		if len(last.Entries) >= maxChunkEntries || (size+entrySize > maxChunkBytes && len(last.Entries) > 0) {
			chunks, size = append(chunks, newChunk(len(chunks))), 0
			last = &chunks[len(chunks)-1]
		}
		last.Entries = append(last.Entries, c)
		size += entrySize
	}
	chunks[len(chunks)-1].Last = true
	return chunks
}

func (l *Ledger) exportEntry(now time.Time, e *Entry) ChunkEntry {
	left := e.expires - now.Sub(l.start)
	if e.state == stateRunning {
		left = unknownWindow
	}
	return ChunkEntry{Key: e.key, Fingerprint: e.fingerprint, Unknown: e.state != stateDone, Response: e.response,
		LeftMillis: max(0, left.Milliseconds()+1)}
}

// dropRange removes the entries of a range whose memory a successor has.
func (l *Ledger) dropRange(keyRange int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.entries[keyRange] {
		l.remove(e)
	}
}

// stagedRange is the received memory of a range. It is installed with a claim after the release it belongs to.
type stagedRange struct {
	handover string
	// receivedAt is the arrival time of the latest chunk.
	receivedAt time.Time
	nextIndex  int
	complete   bool
	windowEnd  time.Time
	entries    []stagedEntry
}

type stagedEntry struct {
	ChunkEntry
	expiresAt time.Time
}

// addChunk adds a chunk that arrived at now. A repeated chunk is accepted and has no effect.
func (s *stagedRange) addChunk(now time.Time, c Chunk) error {
	switch {
	case c.Handover != s.handover || c.Index > s.nextIndex || (s.complete && c.Index >= s.nextIndex):
		return errors.Wrapf(ErrHandoverRefused, "range %d: chunk %d of handover %s is out of order", c.Range, c.Index, c.Handover)
	case c.Index < s.nextIndex:
		return nil
	}
	for _, e := range c.Entries {
		left := min(time.Duration(e.LeftMillis)*time.Millisecond, unknownWindow)
		s.entries = append(s.entries, stagedEntry{ChunkEntry: e, expiresAt: now.Add(left)})
	}
	if end := now.Add(time.Duration(c.WindowLeftMillis) * time.Millisecond); end.After(s.windowEnd) {
		s.windowEnd = end
	}
	s.nextIndex++
	s.complete = c.Last
	return nil
}

// install adds the staged entries of a range. An existing finished entry is retained.
func (l *Ledger) install(now time.Time, keyRange int, staged []stagedEntry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	for _, s := range staged {
		old := l.entries[keyRange][s.Key]
		if old != nil && old.state == stateDone {
			continue
		}
		if old != nil {
			l.remove(old)
		}
		e := &Entry{ledger: l, key: s.Key, fingerprint: s.Fingerprint, keyRange: uint8(keyRange), state: stateDone}
		if s.Unknown {
			e.state = stateUnknown
		}
		l.entries[keyRange][s.Key] = e
		l.count++
		if s.Response != nil && !s.Unknown {
			l.storeResponse(e, s.Response)
		}
		l.scheduleExpiry(e, s.expiresAt.Sub(l.start))
	}
}

// freeEntries returns how many more entries the ledger can hold.
func (l *Ledger) freeEntries() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.maxEntries - l.count
}

// ReceiveChunk stages a chunk that another VM sent with Peers.Handover. Error: ErrHandoverRefused.
func (m *RangeManager) ReceiveChunk(c Chunk) error {
	if c.Range < 0 || c.Range >= RangeCount || c.Handover == "" {
		return errors.Wrapf(ErrHandoverRefused, "invalid chunk: range %d, handover %q", c.Range, c.Handover)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	staged := len(c.Entries)
	for _, s := range m.stagedRanges {
		staged += len(s.entries)
	}
	if m.draining || m.atHeadSince.IsZero() || staged > m.Ledger.freeEntries() {
		return errors.Wrap(ErrHandoverRefused, "this VM is draining, is behind the log's head, or its operation memory is full")
	}
	if len(m.stagedRanges) == 0 {
		// The release follows soon, so the log is read immediately and then at pollInterval.
		m.requestStep()
	}
	st := m.stagedRanges[c.Range]
	if st == nil || (c.Index == 0 && st.handover != c.Handover) {
		st = &stagedRange{handover: c.Handover}
		m.stagedRanges[c.Range] = st
	}
	st.receivedAt = m.Clock.Now()
	return st.addChunk(st.receivedAt, c)
}
