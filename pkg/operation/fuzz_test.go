package operation_test

import (
	"encoding/json"
	"reflect"
	"testing"

	"github.com/hornbeamway/hornbeamway/pkg/operation"
	"github.com/hornbeamway/hornbeamway/pkg/platformlog"
)

// FuzzTableApply guards against log records that make a VM panic, or from which two VMs compute different tables.
func FuzzTableApply(f *testing.F) {
	f.Add([]byte(`{"kind":"renew","vm":"a","inc":1}`), []byte(`{"kind":"claim","vm":"a","inc":1,"ranges":[{"range":0,"base":0}]}`))
	f.Add([]byte(`{"kind":"reset","expect":0}`), []byte(`{"kind":"release","ranges":[{"range":-1}]}`))
	f.Add([]byte(`null`), []byte(`{"kind":"snapshot"}`))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		var one, other operation.Table
		for offset, data := range [][]byte{first, second, first} {
			r := platformlog.Record{Offset: int64(offset), Data: json.RawMessage(data)}
			one.Apply(r)
			other.Apply(r)
			// A repeated delivery of the same record must not change the table.
			other.Apply(r)
		}
		if !reflect.DeepEqual(one, other) {
			t.Fatalf("tables differ after a repeated delivery")
		}
	})
}
