package chaos

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamway/hornbeamway/internal/lab/cluster"
	"github.com/hornbeamway/hornbeamway/internal/lab/load"
	"github.com/hornbeamway/hornbeamway/internal/standin/backend"
)

func TestChaos(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Chaos Suite")
}

// Guards against faults that cannot be reproduced from the seed of a run.
var _ = It("draws the same schedule from the same seed", func() {
	Expect(newSchedule(7, time.Minute, nil)).To(Equal(newSchedule(7, time.Minute, nil)))
	Expect(newSchedule(7, time.Minute, nil)).NotTo(Equal(newSchedule(8, time.Minute, nil)))
	Expect(newSchedule(7, time.Minute, []string{"log."})).To(HaveEach(HaveField("Name", HavePrefix("log."))))
})

// Guards against violations that are not counted, and against counted violations where the guarantee holds.
var _ = DescribeTable("finds the violations of an operation", func(attempts []attempt, executions []cluster.Execution,
	want ...string) {
	found := []string{}
	for _, v := range checkOperation(&requestRecord{request: &request{key: "k"}, Attempts: attempts}, executions) {
		found = append(found, v.kind)
	}
	Expect(found).To(ConsistOf(want))
},
	Entry("answered and run once", []attempt{attemptWith("a", 0, 1, load.Answered, "s a")},
		[]cluster.Execution{executionOf("a", 0)}),
	Entry("run twice", []attempt{attemptWith("a", 0, 1, load.Lost, ""), attemptWith("b", 2, 3, load.Answered, "s b")},
		[]cluster.Execution{executionOf("a", 0), executionOf("b", 2)}, violationRunTwice),
	Entry("not_run of an attempt that ran",
		[]attempt{attemptWith("a", 0, 1, load.NotRun, "")},
		[]cluster.Execution{executionOf("a", 0)}, violationFalseNotRun),
	Entry("not_run after a run",
		[]attempt{attemptWith("a", 0, 1, load.Answered, "s a"), attemptWith("b", 2, 3, load.NotRun, "")},
		[]cluster.Execution{executionOf("a", 0)}, violationFalseNotRun),
	Entry("not_run before a late run of a lost attempt",
		[]attempt{attemptWith("a", 0, 1, load.Lost, ""), attemptWith("b", 2, 3, load.NotRun, "")},
		[]cluster.Execution{executionOf("a", 5)}, violationFalseNotRun),
	Entry("not_run, then run by a retry",
		[]attempt{attemptWith("a", 0, 1, load.NotRun, ""), attemptWith("b", 2, 3, load.Answered, "s b")},
		[]cluster.Execution{executionOf("b", 2)}),
	Entry("not_run while another attempt is in flight",
		[]attempt{attemptWith("a", 0, 9, load.Answered, "s a"), attemptWith("b", 2, 3, load.NotRun, "")},
		[]cluster.Execution{executionOf("a", 4)}),
	Entry("answered without a run", []attempt{attemptWith("a", 0, 1, load.Answered, "s a")}, nil, violationAnsweredNotRun),
	Entry("two answers",
		[]attempt{attemptWith("a", 0, 1, load.Answered, "s a"), attemptWith("b", 2, 3, load.Answered, "s b")},
		[]cluster.Execution{executionOf("a", 0)}, violationDifferentResponses),
	Entry("damaged", []attempt{attemptWith("a", 0, 1, load.Wrong, "")},
		[]cluster.Execution{executionOf("a", 0)}, violationWrongResponse),
)

func attemptWith(id string, sent, ended int, o load.Outcome, answeredBy string) attempt {
	return attempt{ID: id, Sent: timeAt(sent), Ended: timeAt(ended), Outcome: o, OwnOutcome: o, AnsweredBy: answeredBy}
}

func executionOf(id string, started int) cluster.Execution {
	return cluster.Execution{Server: "s", Execution: backend.Execution{
		IdempotencyKey: "k", RequestID: id, StartedAtMs: timeAt(started).UnixMilli()}}
}

func timeAt(second int) time.Time { return time.Unix(1_700_000_000+int64(second), 0) }
