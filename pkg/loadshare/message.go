// Package loadshare tells the entry VMs of a group about each other's requests in flight and about what backend servers say
// of themselves. The group is the region, or the data centre where a region has many VMs. Every begin and end of a request is
// a datagram to each VM of the group, so that all of them choose on exact counts; a heartbeat repeats the counts for datagrams
// that were lost, and carries the age of what its sender knows. VMs outside the group are known by what a few heartbeats and
// the VMs of the group tell of them.
package loadshare

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tinylib/msgp/msgp"

	"github.com/hornbeamway/hornbeamway/pkg/balance"
	"github.com/hornbeamway/hornbeamway/pkg/directory"
)

// ErrMessage reports a datagram that cannot be decoded.
var ErrMessage = errors.New("unreadable datagram")

// messageVersion is the first value of each datagram. Datagrams of other versions are dropped.
const messageVersion = 2

// Event is the begin or end of a request at a server, or what a server said of itself.
type Event struct {
	Key balance.Key
	// Count is the number of requests that the sender has in flight there.
	Count int
	// Outcome says how a request ended; nil for a begin.
	Outcome *balance.Outcome
	// Figure is what the server said at FigureAt; nil if it said nothing.
	Figure   *balance.Figure
	FigureAt time.Time
	// figureAge is what travels in place of FigureAt.
	figureAge time.Duration
}

// age works out the age of the figure that the event travels with.
func (e *Event) age(now time.Time) {
	if e.Figure != nil {
		e.figureAge = now.Sub(e.FigureAt)
	}
}

// contact is what a VM tells of another one.
type contact struct {
	address    string
	dataCentre string
	// capacity is the VM's in units of its own choice; 0: not known.
	capacity int
	// age is the time since the VM was last heard, by whomever.
	age time.Duration
}

// message is one datagram.
type message struct {
	// vm, dataCentre and region are the sender's name and place, capacity how much work it can take; start its start in Unix
	// milliseconds, and sequence counts its datagrams.
	vm, dataCentre, region string
	capacity               int
	start                  int64
	sequence               uint64
	// heartbeat says that counts are complete and that digest and known are set.
	heartbeat bool
	counts    map[balance.Key]int
	events    []Event
	digest    directory.Digest
	// known are other VMs.
	known []contact
}

// Slowness travels in hundredths.
const slownessScale = 100

// noOutcome stands for an event that is no end of a request.
const noOutcome = -1

func (m *message) encode(b []byte) []byte {
	b = msgp.AppendInt(b, messageVersion)
	b = msgp.AppendString(b, m.vm)
	b = msgp.AppendString(b, m.dataCentre)
	b = msgp.AppendString(b, m.region)
	b = msgp.AppendInt(b, m.capacity)
	b = msgp.AppendInt64(b, m.start)
	b = msgp.AppendUint64(b, m.sequence)
	b = msgp.AppendBool(b, m.heartbeat)
	b = msgp.AppendArrayHeader(b, uint32(len(m.events)))
	for i := range m.events {
		b = m.events[i].encode(b)
	}
	if !m.heartbeat {
		return b
	}
	b = msgp.AppendMapHeader(b, uint32(len(m.counts)))
	for key, count := range m.counts {
		b = msgp.AppendUint64(b, uint64(key))
		b = msgp.AppendInt(b, count)
	}
	for _, v := range digestFields(&m.digest) {
		b = msgp.AppendInt64(b, *v)
	}
	b = msgp.AppendArrayHeader(b, uint32(len(m.known)))
	for _, c := range m.known {
		b = msgp.AppendString(b, c.address)
		b = msgp.AppendString(b, c.dataCentre)
		b = msgp.AppendInt(b, c.capacity)
		b = msgp.AppendInt64(b, c.age.Milliseconds())
	}
	return b
}

func digestFields(d *directory.Digest) [7]*int64 {
	return [7]*int64{&d.ConfigVersion, &d.ServersRevision, &d.ConfigNext, &d.ServersNext, &d.AgeMillis, &d.Reader, &d.Reading}
}

func (e *Event) encode(b []byte) []byte {
	b = msgp.AppendUint64(b, uint64(e.Key))
	b = msgp.AppendInt(b, e.Count)
	outcome := noOutcome
	if e.Outcome != nil {
		outcome = int(*e.Outcome)
	}
	b = msgp.AppendInt(b, outcome)
	b = msgp.AppendBool(b, e.Figure != nil)
	if e.Figure != nil {
		b = msgp.AppendInt(b, e.Figure.Running)
		b = msgp.AppendInt(b, e.Figure.Waiting)
		b = msgp.AppendInt(b, int(e.Figure.Slowness*slownessScale))
		b = msgp.AppendInt64(b, e.figureAge.Milliseconds())
	}
	return b
}

// decoder reads values until the first fault.
type decoder struct {
	rest []byte
	err  error
}

func decodeNext[T any](d *decoder, read func([]byte) (T, []byte, error)) T {
	var value T
	if d.err == nil {
		value, d.rest, d.err = read(d.rest)
	}
	return value
}

func (d *decoder) length(read func([]byte) (uint32, []byte, error)) int {
	n := decodeNext(d, read)
	if d.err == nil && int(n) > len(d.rest) {
		d.err = errors.Newf("length %d exceeds the datagram", n)
	}
	if d.err != nil {
		return 0
	}
	return int(n)
}

func decode(b []byte) (*message, error) {
	d := &decoder{rest: b}
	if version := decodeNext(d, msgp.ReadIntBytes); d.err == nil && version != messageVersion {
		return nil, errors.Wrapf(ErrMessage, "version %d", version)
	}
	m := &message{vm: decodeNext(d, msgp.ReadStringBytes), dataCentre: decodeNext(d, msgp.ReadStringBytes),
		region: decodeNext(d, msgp.ReadStringBytes), capacity: decodeNext(d, msgp.ReadIntBytes),
		start: decodeNext(d, msgp.ReadInt64Bytes), sequence: decodeNext(d, msgp.ReadUint64Bytes),
		heartbeat: decodeNext(d, msgp.ReadBoolBytes)}
	for range d.length(msgp.ReadArrayHeaderBytes) {
		m.events = append(m.events, decodeEvent(d))
	}
	if m.heartbeat {
		decodeHeartbeat(d, m)
	}
	if d.err != nil {
		return nil, errors.Mark(d.err, ErrMessage)
	}
	return m, nil
}

func decodeHeartbeat(d *decoder, m *message) {
	m.counts = map[balance.Key]int{}
	for range d.length(msgp.ReadMapHeaderBytes) {
		key := balance.Key(decodeNext(d, msgp.ReadUint64Bytes))
		m.counts[key] = max(0, decodeNext(d, msgp.ReadIntBytes))
	}
	for _, field := range digestFields(&m.digest) {
		*field = decodeNext(d, msgp.ReadInt64Bytes)
	}
	for range d.length(msgp.ReadArrayHeaderBytes) {
		m.known = append(m.known, contact{address: decodeNext(d, msgp.ReadStringBytes),
			dataCentre: decodeNext(d, msgp.ReadStringBytes), capacity: decodeNext(d, msgp.ReadIntBytes),
			age: time.Duration(decodeNext(d, msgp.ReadInt64Bytes)) * time.Millisecond})
	}
}

func decodeEvent(d *decoder) Event {
	e := Event{Key: balance.Key(decodeNext(d, msgp.ReadUint64Bytes)), Count: max(0, decodeNext(d, msgp.ReadIntBytes))}
	if outcome := decodeNext(d, msgp.ReadIntBytes); outcome >= 0 && outcome <= int(balance.Abandoned) {
		o := balance.Outcome(outcome)
		e.Outcome = &o
	}
	if decodeNext(d, msgp.ReadBoolBytes) {
		e.Figure = &balance.Figure{Running: decodeNext(d, msgp.ReadIntBytes), Waiting: decodeNext(d, msgp.ReadIntBytes),
			Slowness: float64(decodeNext(d, msgp.ReadIntBytes)) / slownessScale}
		e.figureAge = time.Duration(decodeNext(d, msgp.ReadInt64Bytes)) * time.Millisecond
	}
	return e
}
