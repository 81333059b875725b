package testsupport

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/onsi/gomega"
)

// SteadyValue returns the value of a gauge once earlier specs no longer change it. It fails the running spec if that takes longer
// than five seconds.
func SteadyValue(g *metrics.Gauge) (value float64) {
	const interval = 100 * time.Millisecond
	gomega.EventuallyWithOffset(1, func() bool {
		value = g.Get()
		time.Sleep(interval)
		return g.Get() == value
	}, "5s").Should(gomega.BeTrue())
	return value
}

// WatchRange samples a number at an interval until the returned function is called, which returns the lowest and the highest.
func WatchRange(interval time.Duration, sample func() int) (stop func() (least, most int)) {
	done, ended := make(chan struct{}), make(chan struct{})
	least, most := sample(), sample()
	go func() {
		defer close(ended)
		for {
			select {
			case <-done:
				return
			case <-time.After(interval):
				n := sample()
				least, most = min(least, n), max(most, n)
			}
		}
	}()
	return func() (int, int) {
		close(done)
		<-ended
		return least, most
	}
}
