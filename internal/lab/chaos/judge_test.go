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

// Guards against a run whose faults cannot be repeated from its seed.
var _ = It("draws the same schedule from the same seed", func() {
	Expect(newSchedule(7, time.Minute, nil)).To(Equal(newSchedule(7, time.Minute, nil)))
	Expect(newSchedule(7, time.Minute, nil)).NotTo(Equal(newSchedule(8, time.Minute, nil)))
	Expect(newSchedule(7, time.Minute, []string{"log."})).To(HaveEach(HaveField("Name", HavePrefix("log."))))
})

// Guards against a broken promise that is not counted, and against a kept one that is.
var _ = DescribeTable("judges an operation", func(attempts []attempt, runs []cluster.Run, want ...string) {
	found := []string{}
	for _, v := range judgeOrder(&order{request: &request{key: "k"}, Attempts: attempts}, runs) {
		found = append(found, v.kind)
	}
	Expect(found).To(ConsistOf(want))
},
	Entry("answered and run once", []attempt{told("a", 0, 1, load.Answered, "s a")}, []cluster.Run{ran("a", 0)}),
	Entry("run twice", []attempt{told("a", 0, 1, load.Lost, ""), told("b", 2, 3, load.Answered, "s b")}, []cluster.Run{ran("a", 0), ran("b", 2)}, kindTwice),
	Entry("not_run of an attempt that ran", []attempt{told("a", 0, 1, load.NotRun, "")}, []cluster.Run{ran("a", 0)}, kindNotRun),
	Entry("not_run after a run", []attempt{told("a", 0, 1, load.Answered, "s a"), told("b", 2, 3, load.NotRun, "")}, []cluster.Run{ran("a", 0)}, kindNotRun),
	Entry("not_run before a late run of a lost attempt", []attempt{told("a", 0, 1, load.Lost, ""), told("b", 2, 3, load.NotRun, "")},
		[]cluster.Run{ran("a", 5)}, kindNotRun),
	Entry("not_run, then run by a retry", []attempt{told("a", 0, 1, load.NotRun, ""), told("b", 2, 3, load.Answered, "s b")}, []cluster.Run{ran("b", 2)}),
	Entry("not_run while another attempt is in flight", []attempt{told("a", 0, 9, load.Answered, "s a"), told("b", 2, 3, load.NotRun, "")}, []cluster.Run{ran("a", 4)}),
	Entry("answered without a run", []attempt{told("a", 0, 1, load.Answered, "s a")}, nil, kindNoRun),
	Entry("two answers", []attempt{told("a", 0, 1, load.Answered, "s a"), told("b", 2, 3, load.Answered, "s b")}, []cluster.Run{ran("a", 0)}, kindRepeat),
	Entry("damaged", []attempt{told("a", 0, 1, load.Wrong, "")}, []cluster.Run{ran("a", 0)}, kindWrong),
)

func told(id string, sent, ended int, o load.Outcome, answer string) attempt {
	return attempt{ID: id, Sent: at(sent), Ended: at(ended), Outcome: o, Own: o, Answer: answer}
}

func ran(id string, started int) cluster.Run {
	return cluster.Run{Server: "s", Execution: backend.Execution{IdempotencyKey: "k", RequestID: id, StartedAtMs: at(started).UnixMilli()}}
}

func at(second int) time.Time { return time.Unix(1_700_000_000+int64(second), 0) }
