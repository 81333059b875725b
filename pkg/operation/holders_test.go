package operation_test

import (
	"context"
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hornbeamway/hornbeamway/pkg/operation"
	"github.com/hornbeamway/hornbeamway/pkg/platformlog"
)

var _ = Describe("the VMs that hold key ranges", func() {
	largeCluster := func(n int) *cluster {
		var ids []string
		for i := range n {
			ids = append(ids, fmt.Sprintf("e%03d", i))
		}
		return newCluster(ids...)
	}
	holdersPerRegion := func(c *cluster) map[int]int {
		count := map[int]int{}
		for i, id := range c.ids {
			if c.owned()[id] > 0 {
				count[i%2]++
			}
		}
		return count
	}
	totalOwned := func(c *cluster) (sum int) {
		for _, n := range c.owned() {
			sum += n
		}
		return sum
	}
	// replace starts a VM with a new id in place of another, so that the regions remain of equal size.
	replace := func(c *cluster, old, id string) {
		delete(c.vms, old)
		for i := range c.ids {
			if c.ids[i] == old {
				c.ids[i] = id
			}
		}
		c.start(id)
	}

	// Guards against bytes per VM and an append rate that grow with the number of VMs: the log accepts several hundred
	// appends per second in total.
	DescribeTable("are at most 8, spread over the regions, with a flat append rate", func(n int) {
		c := largeCluster(n)
		c.run(20 * time.Second)
		Expect(c.owned()).To(And(HaveLen(operation.MaxHolders), HaveEach(operation.RangeCount/operation.MaxHolders)))
		Expect(holdersPerRegion(c)).To(Equal(map[int]int{0: 4, 1: 4}))
		expectNoWindow(c)
		before := len(c.log.records)
		c.run(30 * time.Second)
		Expect(float64(len(c.log.records)-before) / 30).To(BeNumerically("<=", 2.5))
	}, Entry("16 VMs", 16), Entry("100 VMs", 100))

	// Guards against ranges that remain on VMs beyond MaxHolders, or move without their memory, while VMs are replaced.
	It("hand over their ranges when they are no longer selected", func() {
		c := largeCluster(12)
		c.run(20 * time.Second)
		before := len(c.log.records)
		for i := range 6 {
			for _, v := range c.vms {
				v.draining = v.self.VM == c.ids[i]
			}
			startDrain(c.vms[c.ids[i]])
			c.run(8 * time.Second)
			Expect(c.owned()).NotTo(HaveKey(c.ids[i]))
			replace(c, c.ids[i], fmt.Sprintf("n%03d", i))
			c.run(15 * time.Second)
			Expect(c.owned()).To(And(HaveLen(operation.MaxHolders), HaveEach(operation.RangeCount/operation.MaxHolders)))
			Expect(totalOwned(c)).To(Equal(operation.RangeCount))
		}
		expectNoWindow(c)
		Expect(float64(len(c.log.records)-before) / (6 * 23)).To(BeNumerically("<=", 10))
	})

	// Guards against ranges without an owner while the selected VMs are alive but cannot reach the log.
	It("are replaced while the selected ones cannot reach the log", func() {
		c := largeCluster(24)
		c.run(20 * time.Second)
		first := c.owned()
		for id := range first {
			c.vms[id].log.down = true
		}
		c.run(2*operation.TakeoverDelay + 10*time.Second)
		Expect(totalOwned(c)).To(Equal(operation.RangeCount))
		for id := range c.owned() {
			Expect(first).NotTo(HaveKey(id))
		}
		for id := range first {
			c.vms[id].log.down = false
		}
		c.run(30 * time.Second)
		Expect(c.owned()).To(Equal(first))
	})

	// Guards against ranges that remain without an owner after half of the holders were lost, for example with a region.
	It("are replaced after the loss of a region", func() {
		c := largeCluster(32)
		c.run(20 * time.Second)
		for i, id := range c.ids {
			if i%2 == 1 {
				delete(c.vms, id)
			}
		}
		before := len(c.log.records)
		c.run(operation.TakeoverDelay + 10*time.Second)
		Expect(totalOwned(c)).To(Equal(operation.RangeCount))
		Expect(c.owned()).To(HaveLen(operation.MaxHolders))
		Expect(float64(len(c.log.records)-before) / 22).To(BeNumerically("<=", 10))
	})

	// Guards against a start that reads all retained records, and against one that does not find the ownership.
	It("are known to a new VM after a bounded number of records", func() {
		c := largeCluster(9)
		c.run(75 * time.Minute)
		Expect(len(c.log.records)).To(BeNumerically(">", 4*2048))
		c.ids = append(c.ids, "late")
		c.start("late")
		v := c.vms["late"]
		counted := &countingLog{logView: v.log}
		v.ranges.Log = counted
		Eventually(func() bool {
			more, err := v.ranges.Step(context.Background())
			Expect(err).NotTo(HaveOccurred())
			return more
		}).Should(BeFalse())
		Expect(counted.records).To(BeNumerically("<=", 2048+500+1), "the first batch, the read window and its own renewal")
		for r := range operation.RangeCount {
			Expect(v.ranges.Holding(r).Owner.VM).To(Equal(c.vms["e000"].ranges.Holding(r).Owner.VM))
		}
	})

	// Guards against a reset of the ownership when the newest records contain no snapshot but older ones do.
	It("are read from older records when the newest ones contain no snapshot", func() {
		c := largeCluster(3)
		c.run(20 * time.Second)
		want := c.owned()
		for range 5000 {
			_, _ = c.vms["e000"].log.Append(context.Background(), operation.Stream, operation.LogRecord{})
		}
		c.start("e002")
		for range 5 {
			c.step("e002")
		}
		Expect(c.vms["e002"].ranges.Holding(0).Known).To(BeTrue())
		c.run(4 * time.Second)
		Expect(c.owned()["e000"]).To(Equal(want["e000"]))
		for _, r := range c.log.records {
			Expect(strings.Contains(string(r.Data), `"reset"`)).To(BeFalse())
		}
	})
})

// countingLog limits batches to 500 records, as the log service does, and counts the records that were read.
type countingLog struct {
	*logView
	records int
}

func (l *countingLog) Read(ctx context.Context, stream string, from int64, wait time.Duration) (platformlog.Batch, error) {
	b, err := l.logView.Read(ctx, stream, from, wait)
	b.Records = b.Records[:min(500, len(b.Records))]
	l.records += len(b.Records)
	return b, err
}
