package operation

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Bounds of one chunk of a handover.
const (
	maxChunkEntries = 500
	maxChunkBytes   = 256 << 10
)

// ErrHandoverRefused reports a chunk that the successor cannot take: out of order, or its memory is full.
var ErrHandoverRefused = errors.New("operation handover refused")

// Peers sends messages about key ranges to other VMs.
type Peers interface {
	// Handover returns once the VM has stored the chunk.
	Handover(ctx context.Context, vm string, chunk Chunk) error
	// Keep returns nil if the VM promised not to claim the ranges of r for TakeoverDelay.
	Keep(ctx context.Context, vm string, r KeepRequest) error
}

// Chunk is one part of the memory of a range.
type Chunk struct {
	Range    int    `json:"range"`
	Handover string `json:"handover"`
	// Index counts the chunks of one handover from 0; Last marks the last one.
	Index int  `json:"index"`
	Last  bool `json:"last"`
	// WindowLeftMillis is what is left of the sender's own window after an unclean takeover.
	WindowLeftMillis int64        `json:"windowLeftMs,omitempty"`
	Entries          []ChunkEntry `json:"entries,omitempty"`
}

// ChunkEntry is one remembered key.
type ChunkEntry struct {
	Key         string  `json:"k"`
	Fingerprint uint64  `json:"f"`
	Unknown     bool    `json:"u,omitempty"`
	Answer      *Answer `json:"a,omitempty"`
	// LeftMillis is the rest of the window. The receiver counts it from the arrival, so transit only lengthens it.
	LeftMillis int64 `json:"leftMs"`
}

// setFrozen stops or allows the start of unfamiliar keys of a range.
func (l *Ledger) setFrozen(keyRange int, frozen bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.frozen[keyRange] = frozen
}

// running returns the number of entries of a range that are being run.
func (l *Ledger) running(keyRange int) int {
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

// export returns the memory of a frozen range in chunks, at least one. A running entry is exported as unknown.
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
		n := len(c.Key)
		if c.Answer != nil {
			n += c.Answer.size()
		}
		last := &chunks[len(chunks)-1]
		if len(last.Entries) >= maxChunkEntries || (size+n > maxChunkBytes && len(last.Entries) > 0) {
			chunks, size = append(chunks, newChunk(len(chunks))), 0
			last = &chunks[len(chunks)-1]
		}
		last.Entries = append(last.Entries, c)
		size += n
	}
	chunks[len(chunks)-1].Last = true
	return chunks
}

func (l *Ledger) exportEntry(now time.Time, e *Entry) ChunkEntry {
	left := e.expires - now.Sub(l.start)
	if e.state == stateRunning {
		left = unknownWindow
	}
	return ChunkEntry{Key: e.key, Fingerprint: e.fingerprint, Unknown: e.state != stateDone, Answer: e.answer,
		LeftMillis: max(0, left.Milliseconds()+1)}
}

// drop forgets a range that a successor has taken over cleanly.
func (l *Ledger) drop(keyRange int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.entries[keyRange] {
		l.remove(e)
	}
}

// stage is the memory of a range that is being received. It takes effect with a clean claim.
type stage struct {
	handover string
	// at is when the latest chunk arrived.
	at        time.Time
	next      int
	complete  bool
	windowEnd time.Time
	entries   []stagedEntry
}

type stagedEntry struct {
	ChunkEntry
	end time.Time
}

// add takes a chunk that arrived at now. A repeated chunk is accepted and changes nothing.
func (s *stage) add(now time.Time, c Chunk) error {
	switch {
	case c.Handover != s.handover || c.Index > s.next || (s.complete && c.Index >= s.next):
		return errors.Wrapf(ErrHandoverRefused, "range %d: chunk %d of %s out of order", c.Range, c.Index, c.Handover)
	case c.Index < s.next:
		return nil
	}
	for _, e := range c.Entries {
		left := min(time.Duration(e.LeftMillis)*time.Millisecond, unknownWindow)
		s.entries = append(s.entries, stagedEntry{ChunkEntry: e, end: now.Add(left)})
	}
	if end := now.Add(time.Duration(c.WindowLeftMillis) * time.Millisecond); end.After(s.windowEnd) {
		s.windowEnd = end
	}
	s.next++
	s.complete = c.Last
	return nil
}

// install adds the staged entries of a range. A finished entry that is already there is kept.
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
		if s.Answer != nil && !s.Unknown {
			l.keep(e, s.Answer)
		}
		l.schedule(e, s.end.Sub(l.start))
	}
}

// room returns how many more entries the ledger takes.
func (l *Ledger) room() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.maxEntries - l.count
}
