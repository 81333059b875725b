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

// contentOf returns small valid content; entryVMs marks which proposal it came from.
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

func proposeEntry(id, object string, base, seen int64, mark int) preset.Entry {
	content := contentOf(strings.TrimPrefix(object, "preset/"), mark)
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

func fold(entries ...preset.Entry) (*preset.State, []preset.Event) {
	s, events := preset.NewState(), []preset.Event(nil)
	for i, e := range entries {
		events = append(events, s.Apply(record(int64(i), e)))
	}
	return s, events
}

// Guards against each single rule of the fold being lost.
var _ = DescribeTable("decides by log order",
	func(want preset.EventKind, inForce int64, entries ...preset.Entry) {
		_, events := fold(append([]preset.Entry{bootstrapEntry()}, entries...)...)
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
	Entry("acceptance after veto", preset.Repeated, int64(0), propose("p"), refer(preset.KindVeto, "p"), accept("p", 0)),
	Entry("veto after acceptance", preset.Repeated, int64(2), propose("p"), accept("p", 0), refer(preset.KindVeto, "p")),
	Entry("acceptance after withdrawal", preset.Repeated, int64(0), propose("p"), refer(preset.KindWithdraw, "p"), accept("p", 0)),
	Entry("acceptance of an aborted round", preset.Ignored, int64(0), propose("p"), refer(preset.KindAbort, "p"), accept("p", 0)),
	Entry("acceptance of the next round", preset.Accepted, int64(3), propose("p"), refer(preset.KindAbort, "p"), accept("p", 1)),
	Entry("acceptance without proposal", preset.Ignored, preset.NoVersion, accept("p", 0)),
	Entry("a proposer that had not seen the veto", preset.Conflict, int64(0), propose("p"), refer(preset.KindVeto, "p"), propose("q")),
	Entry("invalid content", preset.Invalid, int64(0), preset.Entry{Kind: preset.KindPropose, ID: "p", Object: "preset/ordinary", Base: new(int64), Content: json.RawMessage(`{}`)}),
	Entry("content of another object", preset.Invalid, int64(0), preset.Entry{Kind: preset.KindPropose, ID: "p", Object: "preset/peak", Base: new(int64), Content: contentOf("ordinary", 1)}),
	Entry("an unknown kind", preset.Ignored, preset.NoVersion, preset.Entry{Kind: "erase"}),
)

func propose(id string) preset.Entry { return proposeEntry(id, "preset/ordinary", 0, 0, 9) }
func refer(kind preset.Kind, id string) preset.Entry {
	return preset.Entry{Kind: kind, ID: "r", Proposal: id}
}
func accept(id string, round int64) preset.Entry {
	return preset.Entry{Kind: preset.KindAccept, ID: "a", Proposal: id, Round: round}
}

// history draws records one by one. Each refers to what the log holds so far, in or out of time.
type history struct {
	t       *rapid.T
	state   *preset.State
	records []platformlog.Record
	ids     []string
	marks   map[string]int // proposal id to the mark in its content
}

func (h *history) next() preset.Entry {
	kinds := []preset.Kind{preset.KindPropose, preset.KindPropose, preset.KindVeto, preset.KindWithdraw,
		preset.KindAbort, preset.KindAccept, preset.KindAccept, preset.KindBootstrap, preset.KindSnapshot}
	kind := rapid.SampledFrom(kinds).Draw(h.t, "kind")
	switch {
	case kind == preset.KindBootstrap || h.state.Version == preset.NoVersion:
		return bootstrapEntry()
	case kind == preset.KindSnapshot:
		e, err := h.state.SnapshotEntry("s")
		Expect(err).NotTo(HaveOccurred())
		return *e
	case kind == preset.KindPropose || len(h.ids) == 0:
		id := fmt.Sprintf("p%d", len(h.ids))
		object := rapid.SampledFrom([]string{"preset/ordinary", "preset/peak", "preset/new", preset.ObjectActive}).Draw(h.t, "object")
		base := h.state.VersionOf(object) - int64(rapid.IntRange(0, 3).Draw(h.t, "stale")/3)
		seen := max(-1, h.state.Position-int64(rapid.IntRange(0, 3).Draw(h.t, "behind")))
		h.ids, h.marks[id] = append(h.ids, id), 100+len(h.ids)
		return proposeEntry(id, object, base, seen, h.marks[id])
	}
	id := h.ids[max(0, len(h.ids)-1-rapid.IntRange(0, 3).Draw(h.t, "back"))]
	return preset.Entry{Kind: kind, ID: "r", Proposal: id, Round: int64(rapid.IntRange(0, 3).Draw(h.t, "round") / 2)}
}

func (h *history) add() preset.Event {
	offset := int64(len(h.records))
	r := platformlog.Record{Offset: offset}
	switch choice := rapid.IntRange(0, 9).Draw(h.t, "source"); {
	case choice == 0:
		r.Data = rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(h.t, "garbage")
	case choice <= 2 && offset > 0:
		r.Data = h.records[rapid.IntRange(0, int(offset)-1).Draw(h.t, "repeat")].Data
	default:
		r = record(offset, h.next())
	}
	h.records = append(h.records, r)
	return h.state.Apply(r)
}

// Guards invariant 8 under any order of records with repeats: one preset in force, a refused change never in force,
// versions never down, and the same state for a reader from the start and from any snapshot.
var _ = It("keeps the invariants under arbitrary interleavings", func() {
	rapid.Check(GinkgoTB(), func(t *rapid.T) {
		g := NewWithT(t)
		h := &history{t: t, state: preset.NewState(), marks: map[string]int{}}
		refused, version := map[string]bool{}, preset.NoVersion
		for range rapid.IntRange(1, 60).Draw(t, "records") {
			ev := h.add()
			if ev.Kind == preset.Vetoed || ev.Kind == preset.Withdrawn {
				refused[ev.Proposal] = true
			}
			if ev.Kind == preset.Accepted {
				g.Expect(refused).NotTo(HaveKey(ev.Proposal))
			}
			g.Expect(h.state.Version).To(BeNumerically(">=", version))
			version = h.state.Version
			g.Expect(h.state.ActiveContent() != nil).To(Equal(version != preset.NoVersion))
			for id := range refused {
				for _, p := range h.state.Presets {
					g.Expect(p.Content.EntryVMs).NotTo(Equal(h.marks[id]), "refused proposal %s is in force", id)
				}
			}
		}
		n := rapid.IntRange(1, 7).Draw(t, "batch")
		for range 4 {
			first := rapid.Int64Range(0, int64(len(h.records))-1).Draw(t, "first")
			s, complete := preset.ReadAll(h.records, first, n)
			g.Expect(complete || first > 0).To(BeTrue())
			g.Expect(!complete || s.Equal(h.state)).To(BeTrue(), "reader from offset %d differs", first)
		}
	})
})
