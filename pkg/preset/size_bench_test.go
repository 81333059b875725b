package preset_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/hornbeamway/hornbeamway/pkg/platformlog"
	"github.com/hornbeamway/hornbeamway/pkg/preset"
)

// sampleWithServices returns the ordinary sample preset with the given name and n services, each with one route.
func sampleWithServices(name string, n int) json.RawMessage {
	var c map[string]any
	if err := json.Unmarshal([]byte(samplePreset()), &c); err != nil {
		panic(err)
	}
	services, routes := c["services"].([]any), c["routes"].([]any)
	copyOf := func(from any) map[string]any {
		var m map[string]any
		text, _ := json.Marshal(from)
		_ = json.Unmarshal(text, &m)
		return m
	}
	var allServices, allRoutes []any
	for i := range n {
		s, r := copyOf(services[i%len(services)]), copyOf(routes[0])
		s["name"], r["service"], r["path"] = fmt.Sprint("service-", i), fmt.Sprint("service-", i), fmt.Sprint("/service-", i)
		allServices, allRoutes = append(allServices, s), append(allRoutes, r)
	}
	c["name"], c["services"], c["routes"] = name, allServices, allRoutes
	text, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	return text
}

// BenchmarkSnapshot reports the size of a state with three presets and the time to encode, decode and validate it, which is
// the cost of a snapshot for its writer and for each reader.
func BenchmarkSnapshot(b *testing.B) {
	for _, services := range []int{3, 140} {
		b.Run(fmt.Sprint("services=", services), func(b *testing.B) {
			var presets []string
			for _, name := range []string{"ordinary", "peak", "maintenance"} {
				presets = append(presets, string(sampleWithServices(name, services)))
			}
			record := fmt.Sprintf(`{"kind":"bootstrap","id":"b","author":"bench","active":"ordinary","presets":[%s]}`,
				strings.Join(presets, ","))
			s := preset.NewState()
			s.Apply(platformlog.Record{Data: json.RawMessage(record)})
			if s.Version == preset.NoVersion {
				b.Fatal("the bootstrap record was rejected")
			}
			var size int
			for b.Loop() {
				data, err := s.Marshal()
				if err != nil {
					b.Fatal(err)
				}
				if _, err := preset.UnmarshalState(data); err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "B")
		})
	}
}
