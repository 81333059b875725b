package soak

import (
	"context"
	"time"

	"github.com/hornbeamway/hornbeamway/internal/lab/pause"
	"github.com/hornbeamway/hornbeamway/internal/standin/logservice"
)

const (
	// changeInterval is the time between single changes of the configuration, in which a change that the VMs missed is not hidden by
	// the next one. It exceeds applyBound.
	changeInterval = 5 * time.Second
	// settledTime is the time after the quiet period in which the operator does not change the restored configuration.
	settledTime = time.Second
	// burstInterval is the time between the changes of a quick series.
	burstInterval = 200 * time.Millisecond
)

// removedRecord is a server whose record was removed from the store at a time.
type removedRecord struct {
	id string
	at time.Time
}

// storeCopy is the content of the store at a time.
type storeCopy struct {
	topics *logservice.TopicsCopy
	at     time.Time
}

func (h *harness) copyStore() storeCopy {
	return storeCopy{topics: h.store.CopyTopics(), at: time.Now()}
}

// outage describes how the store is replaced by its copy. The zero value replaces it at once.
type outage struct {
	faults   logservice.Faults
	duration time.Duration
	// rewriteDelay is the time after the return of the store at which the operator and the servers write again.
	rewriteDelay time.Duration
}

// outageFaults lists the faults of the store in an outage.
var outageFaults = []logservice.Faults{{Down: true}, {Unreachable: true}, {}}

// drawOutage returns an outage of 0.2 to 1 s, after which writes follow at once or within a second. With the third of outageFaults the VMs
// can still read what the copy lacks.
func drawOutage(draw int) outage {
	o := outage{faults: outageFaults[draw/victimRange%len(outageFaults)],
		duration: 200*time.Millisecond + time.Duration(draw%800)*time.Millisecond}
	if draw%2 == 1 {
		o.rewriteDelay = time.Duration(draw%1000) * time.Millisecond
	}
	return o
}

// drill restores the store from a copy of some seconds before while the operator changes the configuration. The copy lacks the last two
// or three changes. By draw, the store is down for a moment, does not respond for a moment, or is replaced at once, the VMs have applied the
// lost changes before that, and the store is restored a second time within a second. A drill does not start during another one.
func (h *harness) drill(ctx context.Context, draw int) {
	release, ok := h.operator.reserve()
	if !ok {
		return
	}
	defer release()
	variant := draw / victimRange
	out := drawOutage(draw)
	variant /= len(outageFaults)
	lost := 2 + variant%2
	variant /= 2
	lostApplied := variant%2 == 0
	twice := variant/2%4 == 0

	h.operator.change(draw + victimRange)
	copied := h.copyStore()
	pause.Sleep(ctx, time.Second+time.Duration(draw%4000)*time.Millisecond)
	h.changeInBurst(ctx, draw, lost)
	if lostApplied {
		pause.Sleep(ctx, applyBound)
	}
	h.restoreStore(ctx, copied, out)
	if twice {
		pause.Sleep(ctx, time.Duration(draw%700)*time.Millisecond)
		h.restoreStore(ctx, copied, outage{})
	}
	pause.Sleep(ctx, quietPeriod+settledTime)
	// The last of these changes has an offset beyond those that were lost.
	h.operator.change(draw)
	for i := 1; i < lost; i++ {
		pause.Sleep(ctx, changeInterval)
		h.operator.change(draw + i*victimRange)
	}
}

// drillInBurst is like drill, but all changes are quick ones: before, in and right after the outage.
func (h *harness) drillInBurst(ctx context.Context, draw int) {
	release, ok := h.operator.reserve()
	if !ok {
		return
	}
	defer release()
	variant := draw / victimRange
	h.changeInBurst(ctx, draw, variant%4)
	copied := h.copyStore()
	h.changeInBurst(ctx, draw, 1+variant/4%5)
	pause.Sleep(ctx, time.Duration(draw%4000)*time.Millisecond)
	h.restoreStore(ctx, copied, drawOutage(draw))
	h.changeInBurst(ctx, draw, variant/20%4)
	pause.Sleep(ctx, quietPeriod+settledTime)
}

// changeInBurst writes a number of configurations in a quick series.
func (h *harness) changeInBurst(ctx context.Context, draw, count int) {
	for i := range count {
		h.operator.change(draw + i*victimRange)
		pause.Sleep(ctx, burstInterval)
	}
}

// restoreStore makes an outage of the store, after which the store has the content of an earlier copy. The operator then writes its newest
// configuration again, and the servers their records.
func (h *harness) restoreStore(ctx context.Context, copied storeCopy, o outage) {
	end := h.checker.beginDisturbance(allVMs)
	if o.duration > 0 && h.store.SetFaults(o.faults) == nil {
		pause.Sleep(ctx, o.duration)
	}
	h.store.RestoreTopics(copied.topics)
	h.log.Printf("store restored from its copy of %s: era %d", copied.at.Format("15:04:05.000"), h.store.Era())
	// The zero value is valid.
	_ = h.store.SetFaults(logservice.Faults{})
	end()
	pause.Sleep(ctx, o.rewriteDelay)
	h.operator.writeAgain()
	h.writeServersAgain(copied.at)
}

// writeServersAgain writes the records of all running servers after the store was restored from a copy. Those of stopped servers that the
// copy still has expire anew.
func (h *harness) writeServersAgain(copiedAt time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	for _, s := range h.servers {
		s.lastHeartbeat = now
		if !s.stopped {
			s.seq -= s.seq % 2 // Some write the present sequence number again, and some the next one.
			h.writeServerRecord(s)
		}
	}
	for _, r := range h.removedRecords {
		if r.at.After(copiedAt) {
			h.restoredRecords[r.id] = now
		}
	}
}

// removeServerRecord removes the record of a server from the store. mu must be held.
func (h *harness) removeServerRecord(id string) {
	h.store.Put(topicServers, id, nil)
	h.removedRecords = append(h.removedRecords, removedRecord{id, time.Now()})
}

// expireRestoredRecords removes the records of servers that had been removed and came back with a copy, recordTTL after that. mu must be
// held.
func (h *harness) expireRestoredRecords() {
	for id, restoredAt := range h.restoredRecords {
		if time.Since(restoredAt) > recordTTL {
			delete(h.restoredRecords, id)
			h.removeServerRecord(id)
		}
	}
}
