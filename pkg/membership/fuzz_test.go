package membership

import (
	"encoding/json"
	"math/rand/v2"
	"testing"
	"time"
)

// FuzzHeartbeat guards against a VM that panics or loses its own entry when it merges a corrupt heartbeat or one of another
// release.
func FuzzHeartbeat(f *testing.F) {
	f.Add([]byte(`{"i":"b","n":2,"s":1,"c":[{"i":"b","n":2,"t":1,"s":1,"r":"west","p":"127.0.0.1:1"}]}`))
	f.Add([]byte(`{"i":"a","n":9,"s":1,"c":[{"i":"a","n":9,"t":99,"s":1,"x":3}]}`))
	f.Add([]byte(`{"c":[{"x":255}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var h Heartbeat
		if json.Unmarshal(data, &h) != nil {
			return
		}
		now := time.Unix(1000, 0)
		table := NewTable(Member{ID: "a", Incarnation: 1, Start: now, Region: "west", Peer: "127.0.0.1:2"}, now)
		table.Receive(now, &h)
		table.Tick(now.Add(time.Second), rand.New(rand.NewPCG(1, 0)))
		if self := table.self.member(); self.ID != "a" || self.Incarnation != 1 {
			t.Fatalf("own entry became %+v", self)
		}
	})
}
