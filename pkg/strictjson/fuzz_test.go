package strictjson_test

import (
	"errors"
	"testing"

	"github.com/hornbeamway/hornbeamway/pkg/strictjson"
)

// FuzzDecode guards against input that makes the decoder panic, and against errors of another type than *Error, which holds
// the position.
func FuzzDecode(f *testing.F) {
	f.Add([]byte("{ // comment\n\"wait\": \"250ms\",}"))
	f.Add([]byte("{\"inner\": {\"name\": 1}, \"inner\": {}}"))
	f.Add([]byte("{\"rate\": \"30Mbit/s\", \"body\": \"64KiB\"} x"))
	f.Fuzz(func(t *testing.T, data []byte) {
		var d document
		err := strictjson.Decode(data, &d)
		var positioned *strictjson.Error
		if err != nil && !errors.As(err, &positioned) {
			t.Fatalf("error without a position: %v", err)
		}
	})
}
