package jsonlist_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hornbeamway/hornbeamway/pkg/jsonlist"
)

const limit = 3

// Guards against arrays that are decoded in another way than by encoding/json.
func TestDecodeAgreesWithUnmarshal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringMatching(`\s*(null|\[?([0-9]|"a"|\[\]|null)?(, ?([0-9]|{}|null)){0,2}\]?)`).Draw(t, "text")
		var want []int
		wantErr := json.Unmarshal([]byte(text), &want)
		got, err := jsonlist.Decode[int](strings.NewReader(text), limit)
		if (err != nil) != (wantErr != nil) {
			t.Fatalf("Decode: %v, Unmarshal: %v", err, wantErr)
		}
		if err == nil && len(got) != len(want) {
			t.Fatalf("Decode: %v, Unmarshal: %v", got, want)
		}
	})
}

// Guards against a list that takes memory beyond its limit, and against one that is refused within it.
func TestDecodeLimit(t *testing.T) {
	g := NewWithT(t)
	list, err := jsonlist.Decode[struct{}](strings.NewReader("[{},{},{}]"), limit)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(list).To(HaveLen(limit))
	_, err = jsonlist.Decode[struct{}](strings.NewReader("[{},{},{},"), limit)
	g.Expect(errors.Is(err, jsonlist.ErrTooLong)).To(BeTrue())
}
