package cluster

import (
	"os"

	"github.com/cockroachdb/errors"
)

// ErrMemory reports that the processes need more memory than they may use.
var ErrMemory = errors.New("not enough memory")

// processMemory is the resident memory in bytes assumed for one process before it is started.
const processMemory = 40 << 20

// memoryShare is the part of the machine's memory that all processes of a cluster may use together.
const memoryShare = 0.5

// checkMemory reports whether n processes can be started within the share of the memory that is available.
func checkMemory(n int) error {
	info, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return errors.Mark(err, ErrMemory)
	}
	available := kilobytes(info, "MemAvailable:")
	if need := int64(n) * processMemory; float64(need) > memoryShare*float64(available) {
		return errors.Wrapf(ErrMemory, "%d processes need about %d MiB, %d MiB are available", n, need>>20, available>>20)
	}
	return nil
}

// CheckMemory reports ErrMemory when the processes use more than half of the machine's memory.
func (c *Cluster) CheckMemory() error {
	info, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return errors.Mark(err, ErrMemory)
	}
	var used int64
	for _, p := range c.processes() {
		if resident, _, err := p.Memory(); err == nil {
			used += resident
		}
	}
	if total := kilobytes(info, "MemTotal:"); float64(used) > memoryShare*float64(total) {
		return errors.Wrapf(ErrMemory, "%d MiB in use of %d MiB", used>>20, total>>20)
	}
	return nil
}
