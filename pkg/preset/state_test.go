package preset_test

import (
	"encoding/json"
	"fmt"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hornbeamway/hornbeamway/pkg/platformlog"
	"github.com/hornbeamway/hornbeamway/pkg/preset"
)

// contentOf returns minimal valid content. Tests use the value of entryVMs to identify the proposal.
func contentOf(name string, entryVMs int) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"name":%q,"vetoPeriod":"10s","entryVMs":%d,
		"services":[{"name":"s","slots":3,"connectionLimit":240,"connectCost":"1ms","probeCost":"5ms"}],
		"routes":[{"path":"/","service":"s","class":"bulk","idempotent":true,"timeout":"1s","maxBody":"1B"}],
		"shares":{"interactive":0.5},"link":{"capacity":"1bit/s","shares":{}},"operationMemory":"5m"}`, name, entryVMs))
}

func bootstrapEntry() preset.Entry {
	return preset.Entry{Kind: preset.KindBootstrap, ID: "b", Active: "ordinary",
		Presets: []json.RawMessage{contentOf("ordinary", 16), contentOf("peak", 16)}}
}

func proposeEntry(id, object string, base, seen int64, marker int) preset.Entry {
	content := contentOf(strings.TrimPrefix(object, "preset/"), marker)
	if object == preset.ObjectActive {
		content = json.RawMessage(`"peak"`)
	}
	return preset.Entry{Kind: preset.KindPropose, ID: id, Object: object, Base: &base, Seen: seen, Content: content}
}

func record(offset int64, e preset.Entry) platformlog.Record {
	data, err := json.Marshal(e)
	if err != nil {
		panic(err)
	}
	return platformlog.Record{Offset: offset, Data: data}
}

func applyAll(entries ...preset.Entry) (*preset.State, []preset.Event) {
	s, events := preset.NewState(), []preset.Event(nil)
	for i, e := range entries {
		events = append(events, s.Apply(record(int64(i), e)))
	}
	return s, events
}

// Guards against the loss of any single rule that decides the effect of a record from the records before it.
var _ = DescribeTable("decides by log order",
	func(want preset.EventKind, inForce int64, entries ...preset.Entry) {
		_, events := applyAll(append([]preset.Entry{bootstrapEntry()}, entries...)...)
		last := events[len(events)-1]
		Expect(last.Kind).To(Equal(want), last.Reason)
		Expect(last.InForce).To(Equal(inForce))
	},
	Entry("a second bootstrap", preset.Conflict, int64(0), bootstrapEntry()),
	Entry("a proposal", preset.Proposed, int64(0), propose("p")),
	Entry("a second operator", preset.Conflict, int64(0), propose("p"), propose("q")),
	Entry("a stale base", preset.Conflict, int64(2), propose("p"), accept("p", 0), propose("q")),
	Entry("acceptance", preset.Accepted, int64(2), propose("p"), accept("p", 0)),
	Entry("repeated acceptance", preset.Repeated, int64(2), propose("p"), accept("p", 0), accept("p", 0)),
	Entry("acceptance after veto", preset.Repeated, int64(0), propose("p"), referTo(preset.KindVeto, "p"), accept("p", 0)),
	Entry("veto after acceptance", preset.Repeated, int64(2), propose("p"), accept("p", 0), referTo(preset.KindVeto, "p")),
	Entry("acceptance after withdrawal", preset.Repeated, int64(0), propose("p"), referTo(preset.KindWithdraw, "p"), accept("p", 0)),
	Entry("acceptance of an aborted round", preset.Ignored, int64(0), propose("p"), referTo(preset.KindAbort, "p"), accept("p", 0)),
	Entry("acceptance of the next round", preset.Accepted, int64(3), propose("p"), referTo(preset.KindAbort, "p"), accept("p", 1)),
	Entry("acceptance without proposal", preset.Ignored, preset.NoVersion, accept("p", 0)),
	Entry("a proposer that had not read the veto", preset.Conflict, int64(0),
		propose("p"), referTo(preset.KindVeto, "p"), propose("q")),
	Entry("invalid content", preset.Invalid, int64(0), preset.Entry{Kind: preset.KindPropose, ID: "p",
		Object: "preset/ordinary", Base: new(int64), Content: json.RawMessage(`{}`)}),
	Entry("content of another object", preset.Invalid, int64(0), preset.Entry{Kind: preset.KindPropose, ID: "p",
		Object: "preset/peak", Base: new(int64), Content: contentOf("ordinary", 1)}),
	Entry("an unknown kind", preset.Ignored, preset.NoVersion, preset.Entry{Kind: "erase"}),
)

func propose(id string) preset.Entry { return proposeEntry(id, "preset/ordinary", 0, 0, 9) }
func referTo(kind preset.Kind, id string) preset.Entry {
	return preset.Entry{Kind: kind, ID: "r", Proposal: id}
}
func accept(id string, round int64) preset.Entry {
	return preset.Entry{Kind: preset.KindAccept, ID: "a", Proposal: id, Round: round}
}

// logGenerator generates records one by one. Each refers to the log so far, in a valid or an invalid order.
type logGenerator struct {
	t       *rapid.T
	state   *preset.State
	records []platformlog.Record
	ids     []string
	markers map[string]int // proposal id to the marker in its content
}

func (gen *logGenerator) randomEntry() preset.Entry {
	kinds := []preset.Kind{preset.KindPropose, preset.KindPropose, preset.KindVeto, preset.KindWithdraw,
		preset.KindAbort, preset.KindAccept, preset.KindAccept, preset.KindBootstrap, preset.KindSnapshot}
	kind := rapid.SampledFrom(kinds).Draw(gen.t, "kind")
	switch {
	case kind == preset.KindBootstrap || gen.state.Version == preset.NoVersion:
		return bootstrapEntry()
	case kind == preset.KindSnapshot:
		e, err := gen.state.SnapshotEntry("s")
		Expect(err).NotTo(HaveOccurred())
		return *e
	case kind == preset.KindPropose || len(gen.ids) == 0:
		id := fmt.Sprintf("p%d", len(gen.ids))
		object := rapid.SampledFrom([]string{"preset/ordinary", "preset/peak", "preset/new", preset.ObjectActive}).Draw(gen.t, "object")
		base := gen.state.VersionOf(object) - int64(rapid.IntRange(0, 3).Draw(gen.t, "stale")/3)
		seen := max(-1, gen.state.Position-int64(rapid.IntRange(0, 3).Draw(gen.t, "behind")))
		gen.ids, gen.markers[id] = append(gen.ids, id), 100+len(gen.ids)
		return proposeEntry(id, object, base, seen, gen.markers[id])
	}
	id := gen.ids[max(0, len(gen.ids)-1-rapid.IntRange(0, 3).Draw(gen.t, "back"))]
	return preset.Entry{Kind: kind, ID: "r", Proposal: id, Round: int64(rapid.IntRange(0, 3).Draw(gen.t, "round") / 2)}
}

func (gen *logGenerator) appendRandom() preset.Event {
	offset := int64(len(gen.records))
	r := platformlog.Record{Offset: offset}
	switch choice := rapid.IntRange(0, 9).Draw(gen.t, "source"); {
	case choice == 0:
		r.Data = rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(gen.t, "garbage")
	case choice <= 2 && offset > 0:
		r.Data = gen.records[rapid.IntRange(0, int(offset)-1).Draw(gen.t, "repeat")].Data
	default:
		r = record(offset, gen.randomEntry())
	}
	gen.records = append(gen.records, r)
	return gen.state.Apply(r)
}

// Guards against violations of invariant 8 of docs/design.md for any order of records, including repeats: exactly one preset is in
// force, a refused change never comes into force, versions never decrease, and a reader that starts from a snapshot reaches the same
// state as one that starts at the beginning.
var _ = It("keeps the invariants under arbitrary interleavings", func() {
	rapid.Check(GinkgoTB(), func(t *rapid.T) {
		g := NewWithT(t)
		gen := &logGenerator{t: t, state: preset.NewState(), markers: map[string]int{}}
		refused, version := map[string]bool{}, preset.NoVersion
		for range rapid.IntRange(1, 60).Draw(t, "records") {
			ev := gen.appendRandom()
			if ev.Kind == preset.Vetoed || ev.Kind == preset.Withdrawn {
				refused[ev.Proposal] = true
			}
			if ev.Kind == preset.Accepted {
				g.Expect(refused).NotTo(HaveKey(ev.Proposal))
			}
			g.Expect(gen.state.Version).To(BeNumerically(">=", version))
			version = gen.state.Version
			g.Expect(gen.state.ActiveContent() != nil).To(Equal(version != preset.NoVersion))
			for id := range refused {
				for _, p := range gen.state.Presets {
					g.Expect(p.Content.EntryVMs).NotTo(Equal(gen.markers[id]), "refused proposal %s is in force", id)
				}
			}
		}
		n := rapid.IntRange(1, 7).Draw(t, "batch")
		for range 4 {
			first := rapid.Int64Range(0, int64(len(gen.records))-1).Draw(t, "first")
			s, complete := preset.ReadAll(gen.records, first, n)
			g.Expect(complete || first > 0).To(BeTrue())
			g.Expect(!complete || s.Equal(gen.state)).To(BeTrue(), "reader from offset %d differs", first)
		}
	})
})
