package preset_test

import (
	"encoding/json"
	"os"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamway/hornbeamway/pkg/platformlog"
	"github.com/hornbeamway/hornbeamway/pkg/preset"
)

// samplePreset returns the ordinary preset of the sample deployment Balisage as standard JSON.
func samplePreset() string {
	data, err := os.ReadFile("../../samples/balisage/presets.json")
	if err != nil {
		panic(err)
	}
	f, err := preset.ParseFile(data)
	if err != nil {
		panic(err)
	}
	text, err := json.Marshal(f.Presets[0])
	if err != nil {
		panic(err)
	}
	return string(text)
}

// Guards against invalid content that is accepted and then fails when calls use it, and against messages that do not name
// the field.
var _ = DescribeTable("rejects invalid content and names the field and the reason",
	func(old, new, message string) {
		text := samplePreset()
		Expect(text).To(ContainSubstring(old))
		_, err := preset.ParseContent([]byte(strings.Replace(text, old, new, 1)))
		Expect(errors.Is(err, preset.ErrInvalidContent)).To(BeTrue())
		Expect(err.Error()).To(ContainSubstring(message))
	},
	Entry("unknown key", `"entryVMs"`, `"entryVM"`, `unknown key "entryVM"`),
	Entry("no unit", `"vetoPeriod":"10m0s"`, `"vetoPeriod":600`, `"600" is not a duration`),
	Entry("name", `"name":"ordinary"`, `"name":"Ordinary Day"`, `name: "Ordinary Day" is not a name`),
	Entry("no entry VMs", `"entryVMs":16`, `"entryVMs":0`, `entryVMs: 0 is not between 1 and 1000`),
	Entry("no slots", `"slots":3`, `"slots":0`, `services[0].slots: 0 is not between`),
	Entry("fewer connections than slots", `"connectionLimit":240`, `"connectionLimit":2`, `services[0].connectionLimit`),
	Entry("target", `"target":0.999`, `"target":1`, `services[0].objectives.interactive.target: 1 is not between`),
	Entry("class", `"interactive":{"latency"`, `"urgent":{"latency"`, `unknown priority class`),
	Entry("duplicate service", `"name":"orders"`, `"name":"catalogue"`, `services[1].name: duplicate service`),
	Entry("unknown service", `"service":"orders"`, `"service":"claims"`, `routes[1].service: no service is named "claims"`),
	Entry("relative path", `"path":"/catalogue"`, `"path":"catalogue"`, `routes[0].path: "catalogue" does not start`),
	Entry("reserved path", `"path":"/catalogue"`, `"path":"/.well-known/hornbeamway/x"`, `is reserved`),
	Entry("duplicate route", `"path":"/payments"`, `"path":"/orders"`, `routes[3]: duplicates routes[1]`),
	Entry("operation longer than 30 s", `"timeout":"20s"`, `"timeout":"31s"`, `routes[3].timeout: 31s is not between`),
	Entry("hedged operation", `"idempotent":false,`, `"idempotent":false,"hedge":true,`, `cannot be hedged`),
	Entry("shares above 1", `"interactive":0.5`, `"interactive":0.7`, `shares: sum of shares 1.1 is above 1`),
	Entry("negative share", `"bulk":0.1`, `"bulk":-0.1`, `shares.bulk: -0.1 is not between`),
	Entry("memory below two timeouts", `"operationMemory":"5m0s"`, `"operationMemory":"10s"`, `operationMemory: 10s`),
	Entry("link without capacity", `"capacity":"30000000bit/s"`, `"capacity":"0bit/s"`, `link.capacity`),
)

// Guards against a call that is routed to the wrong service, for example because a prefix ends within a path segment.
var _ = DescribeTable("finds the route of the longest prefix",
	func(method, path, want string) {
		text := strings.Replace(samplePreset(), `"routes":[`, `"routes":[
			{"path":"/","methods":["GET"],"service":"library","class":"bulk","idempotent":true,"timeout":"1s","maxBody":"1B"},
			{"path":"/orders/labels","methods":["GET"],"service":"library","class":"bulk","idempotent":true,"timeout":"1s","maxBody":"1B"},`, 1)
		c, err := preset.ParseContent([]byte(text))
		Expect(err).NotTo(HaveOccurred())
		r, ok := c.Route(method, path)
		Expect(ok).To(Equal(want != ""))
		if ok {
			Expect(r.Path + " " + r.Class.String()).To(Equal(want))
		}
		Expect(testing.AllocsPerRun(10, func() { c.Route(method, path) })).To(BeZero())
	},
	Entry("exact", "GET", "/orders", "/orders interactive"),
	Entry("by method", "POST", "/orders/7", "/orders transactional"),
	Entry("longer prefix", "GET", "/orders/labels/9", "/orders/labels bulk"),
	Entry("longer prefix without the method", "POST", "/orders/labels/9", "/orders transactional"),
	Entry("part of a segment", "GET", "/orders-old", "/ bulk"),
	Entry("root", "GET", "/", "/ bulk"),
	Entry("empty path", "GET", "", "/ bulk"),
	Entry("long path", "GET", "/catalogue"+strings.Repeat("/a", 5000), "/catalogue interactive"),
	Entry("long first segment", "GET", "/"+strings.Repeat("a", 5000), "/ bulk"),
	Entry("no route", "POST", "/catalogue", ""),
)

// FuzzContent guards against content that causes a panic or changes when it is encoded and decoded again.
func FuzzContent(f *testing.F) {
	f.Add([]byte(samplePreset()))
	for _, text := range []string{"", "null", "{}", "[", `{"routes":[{}]}`, "{\"name\":\"\xff\"}", strings.Repeat("[", 20000)} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := preset.ParseContent(data)
		if err != nil {
			return
		}
		first, err := json.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		again, err := preset.ParseContent(first)
		if err != nil {
			t.Fatalf("content rejected after encoding: %v", err)
		}
		second, _ := json.Marshal(again)
		if string(first) != string(second) {
			t.Fatalf("%s became %s", first, second)
		}
		c.Route("GET", string(data))
	})
}

// FuzzRecord guards against a log record that makes every VM panic, and against a state that changes when it is encoded
// and decoded as in a snapshot.
func FuzzRecord(f *testing.F) {
	for _, e := range []preset.Entry{
		bootstrapEntry(), proposeEntry("p", "preset/ordinary", 0, 0, 9), {Kind: preset.KindVeto, Proposal: "p"},
		{Kind: preset.KindAccept, Proposal: "p"}, {Kind: preset.KindAbort, Proposal: "p"}, {Kind: preset.KindSnapshot},
	} {
		data, _ := json.Marshal(e)
		f.Add(data)
	}
	f.Add([]byte(`{"kind":"propose","id":"q","object":"active","base":0,"content":"peak"}`))
	f.Add([]byte(`null`))
	s, _ := applyAll(bootstrapEntry(), proposeEntry("p", "preset/ordinary", 0, 0, 9))
	snapshot, _ := s.SnapshotEntry("s")
	snapshot.Covers = 0
	data, _ := json.Marshal(snapshot)
	f.Add([]byte(strings.Replace(string(data), `"position":1`, `"position":0`, 1)))
	f.Fuzz(func(t *testing.T, data []byte) {
		s := preset.NewState()
		s.Apply(platformlog.Record{Offset: 0, Data: data})
		s.Apply(record(1, bootstrapEntry()))
		s.Apply(record(2, proposeEntry("p", "preset/ordinary", 1, 1, 9)))
		s.Apply(platformlog.Record{Offset: 3, Data: data})
		s.Apply(platformlog.Record{Offset: 4, Data: data})
		fromSnapshot, _ := preset.ReadAll([]platformlog.Record{{}, {Offset: 1, Data: data}, record(2, accept("p", 0))}, 1, 5)
		if fromSnapshot.Version != preset.NoVersion && fromSnapshot.ActiveContent() == nil {
			t.Fatal("state without the preset in force")
		}
		text, err := s.Marshal()
		if err != nil {
			t.Fatal(err)
		}
		again, err := preset.UnmarshalState(text)
		if err != nil || !again.Equal(s) {
			t.Fatalf("state changed: %v", err)
		}
	})
}
