// Package loadshare shares the counts of in-flight requests and the load reports of backend servers among entry VMs, so that
// all of them balance on the same counts.
//
// In a region with few VMs each begin and end of a request is sent as a datagram to each VM of the region. In a larger one the
// VMs of a data centre send them to the few aggregators of that data centre only, and each VM gets the sums from one of these in
// periodic summaries: the number of datagrams of a VM does not depend on the number of VMs.
//
// A heartbeat repeats the counts, in case datagrams were lost, and carries the versions and the age of its sender's configuration
// and servers. All other VMs are discovered through occasional heartbeats and through the contacts that VMs forward.
package loadshare

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
	"github.com/tinylib/msgp/msgp"

	"github.com/hornbeamway/hornbeamway/pkg/balance"
	"github.com/hornbeamway/hornbeamway/pkg/directory"
)

// ErrInvalidDatagram reports a datagram that cannot be decoded.
var ErrInvalidDatagram = errors.New("invalid datagram")

// messageVersion is the first value of each datagram. Datagrams of other versions are dropped.
const messageVersion = 3

// Event reports the begin or the end of a request at a server, or a load report of the server.
type Event struct {
	Key balance.ServerKey
	// Count is the number of requests that the sender has in flight at the server.
	Count int
	// Outcome is the outcome of a request that ended, nil for other events.
	Outcome *balance.Outcome
	// LoadReport is the load report that was received from the server at ReportedAt; nil if there is none.
	LoadReport *balance.LoadReport
	ReportedAt time.Time
	// Leaving is true if the server has stated that it is leaving.
	Leaving bool
	// reportAge is the age of the load report. It is transmitted in place of ReportedAt.
	reportAge time.Duration
}

// probeReport reports whether the event is the load report of a probe, not the begin or end of a request.
func (e *Event) probeReport() bool { return e.LoadReport != nil && e.Outcome == nil }

// setReportAge sets the age of the load report that is transmitted with the event.
func (e *Event) setReportAge(now time.Time) {
	if e.LoadReport != nil {
		e.reportAge = now.Sub(e.ReportedAt)
	}
}

// contact describes another VM in a heartbeat.
type contact struct {
	address    string
	dataCentre string
	// capacity is the capacity of the VM in the unit of Options.Capacity, 0 if it is unknown.
	capacity int
	// age is the time since any VM last received a datagram from it.
	age time.Duration
}

// message is the decoded content of a datagram.
type message struct {
	// vm, dataCentre and region are the name and the location of the sender, and capacity is how much work it can handle.
	// start is its start time in Unix milliseconds, and sequence numbers its datagrams since then.
	vm, dataCentre, region string
	capacity               int
	start                  int64
	sequence               uint64
	kind                   messageKind
	events                 []Event
	// counts holds the requests in flight of the sender in a heartbeat, and those of all VMs of the data centre except the
	// receiver in a summary: on all servers if complete is set, which it is in each heartbeat, and on some otherwise.
	counts   map[balance.ServerKey]int
	complete bool
	// digest, known (the number of VMs that the sender knows) and contacts (other VMs that it considers live) are set in
	// heartbeats and complete summaries.
	digest   directory.Digest
	known    int
	contacts []contact
	// subscribe requests summaries from the receiver of a heartbeat.
	subscribe bool
}

// messageKind is the kind of a datagram.
type messageKind int

// The kinds of datagrams.
const (
	kindEvents messageKind = iota
	kindHeartbeat
	kindSummary
)

// hasDigest reports whether the message carries what only heartbeats and complete summaries have.
func (m *message) hasDigest() bool {
	return m.kind == kindHeartbeat || m.kind == kindSummary && m.complete
}

// slowdownScale is the scale of the transmitted slowdown, which is an integer number of hundredths.
const slowdownScale = 100

// noOutcome is transmitted for an event that is not the end of a request.
const noOutcome = -1

func (m *message) encode(b []byte) []byte {
	b = msgp.AppendInt(b, messageVersion)
	b = msgp.AppendString(b, m.vm)
	b = msgp.AppendString(b, m.dataCentre)
	b = msgp.AppendString(b, m.region)
	b = msgp.AppendInt(b, m.capacity)
	b = msgp.AppendInt64(b, m.start)
	b = msgp.AppendUint64(b, m.sequence)
	b = msgp.AppendInt(b, int(m.kind))
	b = msgp.AppendArrayHeader(b, uint32(len(m.events)))
	for i := range m.events {
		b = m.events[i].encode(b)
	}
	if m.kind != kindEvents {
		b = m.encodeCounts(b)
	}
	return m.encodeExtensions(b)
}

// encodeCounts encodes what only heartbeats and summaries have.
func (m *message) encodeCounts(b []byte) []byte {
	b = msgp.AppendBool(b, m.complete)
	b = msgp.AppendBool(b, m.subscribe)
	b = msgp.AppendMapHeader(b, uint32(len(m.counts)))
	for key, count := range m.counts {
		b = msgp.AppendUint64(b, uint64(key))
		b = msgp.AppendInt(b, count)
	}
	if !m.hasDigest() {
		return b
	}
	b = msgp.AppendInt(b, m.known)
	for _, v := range digestFields(&m.digest) {
		b = msgp.AppendInt64(b, *v)
	}
	b = msgp.AppendArrayHeader(b, uint32(len(m.contacts)))
	for _, c := range m.contacts {
		b = msgp.AppendString(b, c.address)
		b = msgp.AppendString(b, c.dataCentre)
		b = msgp.AppendInt(b, c.capacity)
		b = msgp.AppendInt64(b, c.age.Milliseconds())
	}
	return b
}

// encodeExtensions encodes the keys of the servers that the events report as leaving, and the era of the digest. They come last and are
// left out if there are none, because VMs of earlier versions ignore what follows the parts that they know.
func (m *message) encodeExtensions(b []byte) []byte {
	keys := lo.FilterMap(m.events, func(e Event, _ int) (balance.ServerKey, bool) { return e.Key, e.Leaving })
	hasEra := m.hasDigest() && m.digest.Era != 0
	if len(keys) == 0 && !hasEra {
		return b
	}
	b = msgp.AppendArrayHeader(b, uint32(len(keys)))
	for _, key := range keys {
		b = msgp.AppendUint64(b, uint64(key))
	}
	if hasEra {
		b = msgp.AppendInt64(b, m.digest.Era)
	}
	return b
}

// digestFields returns the fields of a digest that VMs of all versions send.
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
	b = msgp.AppendBool(b, e.LoadReport != nil)
	if e.LoadReport != nil {
		b = msgp.AppendInt(b, e.LoadReport.Running)
		b = msgp.AppendInt(b, e.LoadReport.Waiting)
		b = msgp.AppendInt(b, int(e.LoadReport.Slowdown*slowdownScale))
		b = msgp.AppendInt64(b, e.reportAge.Milliseconds())
	}
	return b
}

// decoder reads values until the first error, which it keeps.
type decoder struct {
	remaining []byte
	err       error
}

func decodeNext[T any](d *decoder, read func([]byte) (T, []byte, error)) T {
	var value T
	if d.err == nil {
		value, d.remaining, d.err = read(d.remaining)
	}
	return value
}

func (d *decoder) length(read func([]byte) (uint32, []byte, error)) int {
	n := decodeNext(d, read)
	if d.err == nil && int(n) > len(d.remaining) {
		d.err = errors.Newf("length %d exceeds the rest of the datagram", n)
	}
	if d.err != nil {
		return 0
	}
	return int(n)
}

func decode(b []byte) (*message, error) {
	d := &decoder{remaining: b}
	if version := decodeNext(d, msgp.ReadIntBytes); d.err == nil && version != messageVersion {
		return nil, errors.Wrapf(ErrInvalidDatagram, "unsupported version %d", version)
	}
	m := &message{vm: decodeNext(d, msgp.ReadStringBytes), dataCentre: decodeNext(d, msgp.ReadStringBytes),
		region: decodeNext(d, msgp.ReadStringBytes), capacity: decodeNext(d, msgp.ReadIntBytes),
		start: decodeNext(d, msgp.ReadInt64Bytes), sequence: decodeNext(d, msgp.ReadUint64Bytes),
		kind: messageKind(decodeNext(d, msgp.ReadIntBytes))}
	for range d.length(msgp.ReadArrayHeaderBytes) {
		m.events = append(m.events, decodeEvent(d))
	}
	if m.kind != kindEvents {
		decodeCounts(d, m)
	}
	if m.hasDigest() {
		decodeDigest(d, m)
	}
	if len(d.remaining) > 0 {
		decodeLeaving(d, m)
	}
	if len(d.remaining) > 0 && m.hasDigest() {
		m.digest.Era = decodeNext(d, msgp.ReadInt64Bytes)
	}
	if d.err != nil {
		return nil, errors.Mark(d.err, ErrInvalidDatagram)
	}
	return m, nil
}

func decodeCounts(d *decoder, m *message) {
	m.complete, m.subscribe = decodeNext(d, msgp.ReadBoolBytes), decodeNext(d, msgp.ReadBoolBytes)
	m.counts = map[balance.ServerKey]int{}
	for range d.length(msgp.ReadMapHeaderBytes) {
		key := balance.ServerKey(decodeNext(d, msgp.ReadUint64Bytes))
		m.counts[key] = max(0, decodeNext(d, msgp.ReadIntBytes))
	}
}

func decodeDigest(d *decoder, m *message) {
	m.known = decodeNext(d, msgp.ReadIntBytes)
	for _, field := range digestFields(&m.digest) {
		*field = decodeNext(d, msgp.ReadInt64Bytes)
	}
	for range d.length(msgp.ReadArrayHeaderBytes) {
		m.contacts = append(m.contacts, contact{address: decodeNext(d, msgp.ReadStringBytes),
			dataCentre: decodeNext(d, msgp.ReadStringBytes), capacity: decodeNext(d, msgp.ReadIntBytes),
			age: time.Duration(decodeNext(d, msgp.ReadInt64Bytes)) * time.Millisecond})
	}
}

// decodeLeaving decodes the keys of the servers that are leaving and marks their events.
func decodeLeaving(d *decoder, m *message) {
	for range d.length(msgp.ReadArrayHeaderBytes) {
		key := balance.ServerKey(decodeNext(d, msgp.ReadUint64Bytes))
		for i := range m.events {
			m.events[i].Leaving = m.events[i].Leaving || m.events[i].Key == key
		}
	}
}

func decodeEvent(d *decoder) Event {
	e := Event{Key: balance.ServerKey(decodeNext(d, msgp.ReadUint64Bytes)), Count: max(0, decodeNext(d, msgp.ReadIntBytes))}
	if outcome := decodeNext(d, msgp.ReadIntBytes); outcome >= 0 && outcome <= int(balance.Cancelled) {
		o := balance.Outcome(outcome)
		e.Outcome = &o
	}
	if decodeNext(d, msgp.ReadBoolBytes) {
		e.LoadReport = &balance.LoadReport{Running: decodeNext(d, msgp.ReadIntBytes), Waiting: decodeNext(d, msgp.ReadIntBytes),
			Slowdown: float64(decodeNext(d, msgp.ReadIntBytes)) / slowdownScale}
		e.reportAge = time.Duration(decodeNext(d, msgp.ReadInt64Bytes)) * time.Millisecond
	}
	return e
}
