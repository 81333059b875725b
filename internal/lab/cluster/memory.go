package cluster

import (
	"os"

	"github.com/cockroachdb/errors"
)

// ErrMemory reports that the processes need more memory than permitted.
var ErrMemory = errors.New("not enough memory")

// processMemory is the assumed resident memory of one process in bytes, for the check before the start.
const processMemory = 40 << 20

// memoryShare is the fraction of the machine's memory that all processes of a cluster together may use.
const memoryShare = 0.5

// checkMemory returns ErrMemory if count processes are expected to exceed memoryShare of the available memory.
func checkMemory(count int) error {
	meminfo, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return errors.Mark(err, ErrMemory)
	}
	available := procBytes(meminfo, "MemAvailable:")
	if required := int64(count) * processMemory; float64(required) > memoryShare*float64(available) {
		return errors.Wrapf(ErrMemory, "%d processes need about %d MiB, more than half of the available %d MiB",
			count, required>>20, available>>20)
	}
	return nil
}

// CheckMemory returns ErrMemory if the processes use more than half of the machine's memory.
func (c *Cluster) CheckMemory() error {
	meminfo, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return errors.Mark(err, ErrMemory)
	}
	var usedBytes int64
	for _, p := range c.processes() {
		if resident, _, err := p.Memory(); err == nil {
			usedBytes += resident
		}
	}
	if totalBytes := procBytes(meminfo, "MemTotal:"); float64(usedBytes) > memoryShare*float64(totalBytes) {
		return errors.Wrapf(ErrMemory, "the processes use %d MiB, more than half of %d MiB", usedBytes>>20, totalBytes>>20)
	}
	return nil
}
