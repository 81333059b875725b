package strictjson_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamway/hornbeamway/pkg/strictjson"
	"github.com/hornbeamway/hornbeamway/pkg/unit"
)

func TestStrictJSON(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "strictjson")
}

type document struct {
	Wait  unit.Duration `json:"wait"`
	Body  unit.Size     `json:"body"`
	Rate  unit.BitRate  `json:"rate"`
	Count int           `json:"count"`
	Inner struct {
		Name string `json:"name"`
	} `json:"inner"`
}

// Guards against silently ignoring a misspelt or ambiguous setting.
var _ = DescribeTable("rejects an invalid document and reports the position",
	func(text, message string) {
		var d document
		err := strictjson.Decode([]byte(text), &d)
		Expect(err).To(HaveOccurred())
		Expect(err.Error()).To(ContainSubstring(message))
	},
	Entry("unknown key", "{\n  \"wiat\": \"1s\"\n}", `line 2, column 3: unknown key "wiat"`),
	Entry("duplicate key", "{\"count\": 1,\n \"count\": 2}", `line 2, column 2: duplicate key "count"`),
	Entry("nested duplicate", "{\"inner\": {\"name\": \"a\", \"name\": \"b\"}}", `duplicate key "name"`),
	Entry("duration without unit", "{\"wait\": 5}", `line 1, column 2: wait: "5" is not a duration`),
	Entry("key in a different case", "{\"Count\": 5}", `line 1, column 2: unknown key "Count"`),
	Entry("unknown unit", "{\"wait\": \"5 parsecs\"}", `"5 parsecs" is not a duration`),
	Entry("negative duration", "{\"wait\": \"-5s\"}", `"-5s" is not a duration`),
	Entry("size without unit", "{\"body\": \"12\"}", `"12" is not a size`),
	Entry("rate in bytes", "{\"rate\": \"30MB/s\"}", `"30MB/s" is not a bit rate`),
	Entry("wrong type", "{\n\"count\": \"x\"}", `line 2, column 1: count: want int, got string`),
	Entry("syntax error", "{\"count\": }", `line 1`),
)

// Guards against rejecting comments or trailing commas, and against a unit that is converted wrongly.
var _ = It("accepts comments, trailing commas and units", func() {
	var d document
	Expect(strictjson.Decode([]byte("{ // comment\n\"wait\": \"250ms\", \"body\": \"64KiB\", \"rate\": \"30Mbit/s\",}"), &d)).To(Succeed())
	Expect(d.Wait.Std().Milliseconds()).To(BeEquivalentTo(250))
	Expect(d.Body).To(BeEquivalentTo(65536))
	Expect(d.Rate.BytesPerSecond()).To(BeNumerically("==", 3.75e6))
})

// Guards against an error that is reported at a different key of the same name.
var _ = DescribeTable("finds a value by its path", func(want string, path ...string) {
	text := "{\"name\": 1,\n \"inner\": {\n\"name\": [1,\n2]}}"
	Expect(strictjson.ErrorAtPath([]byte(text), "bad", path...)).To(MatchError(want))
},
	Entry("top", "line 1, column 10: bad", "name"),
	Entry("inner", "line 3, column 9: bad", "inner", "name"),
	Entry("array element", "line 4, column 1: bad", "inner", "name", "1"),
	Entry("missing key", "line 2, column 11: bad", "inner", "other"),
	Entry("document", "line 1, column 1: bad", "other"),
)
