// Package operation ensures that non-idempotent operations run at most once. An idempotency key is either a ticket, which
// only the VM incarnation that issued it may run, or a caller key, chosen by the caller, which only the VM that holds the
// lease of the key's range may run. The operation memory (Ledger) records every started key and, within bounds, its response.
package operation

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limits and intervals of the package.
const (
	// RangeCount is the number of key ranges into which caller keys are hashed.
	RangeCount = 128
	// TicketLifetime is the time after its issue within which a ticket may start an operation.
	TicketLifetime = 5 * time.Minute
	// MemoryWindow is the time for which the entry of a finished key is retained.
	MemoryWindow = 5 * time.Minute
	// MaxDeadline is the longest duration of an operation, measured from its start.
	MaxDeadline = 30 * time.Second
	// LeaseDuration is the validity of a lease. It is measured from just before the renewal, or the extension request to
	// all VMs, was sent.
	LeaseDuration = 8 * time.Second
	// RenewInterval is the time between two renewals. Every VM reads every renewal, so a shorter interval increases the
	// bytes that all VMs read. With this interval, a lease has at least LeaseDuration - RenewInterval = 4 s left while the
	// log is available.
	RenewInterval = 4 * time.Second
	// TakeoverDelay is the time without a log record from an owner after which another VM claims its ranges.
	TakeoverDelay = LeaseDuration + 4*time.Second
	// UncleanWindow is the time after an unclean takeover, which is a claim without the previous owner's memory, during
	// which new keys are not run. The previous owner may write until its lease ends, which can be one lease after the
	// claim, and the backend server may act on that write until the operation's deadline, so both are added to the memory
	// window.
	UncleanWindow = MemoryWindow + LeaseDuration + MaxDeadline
	// maxKeyLength is the maximum length of a caller key in bytes.
	maxKeyLength = 128
)

// Fingerprint returns a hash by which two requests with the same key are compared.
func Fingerprint(method, path, body []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range [][]byte{method, path, body} {
		// The length prefix separates the parts: without it, moving a byte from one part to the next would not change the
		// hash. Write of a Digest never fails.
		n := uint64(len(part))
		_, _ = d.Write([]byte{byte(n), byte(n >> 8), byte(n >> 16), byte(n >> 24), byte(n >> 32)})
		_, _ = d.Write(part)
	}
	return d.Sum64()
}

// RangeOf returns the key range of a caller key.
func RangeOf(key string) int { return int(xxhash.Sum64String(key) % RangeCount) }

// ValidKey reports whether key consists of 1 to 128 visible ASCII characters, or has the prefix of a ticket and at most
// the length of one.
func ValidKey(key string) bool {
	if IsTicket(key) {
		return len(key) <= maxTicketLength
	}
	if key == "" || len(key) > maxKeyLength {
		return false
	}
	for i := 0; i < len(key); i++ {
		if key[i] <= ' ' || key[i] > '~' {
			return false
		}
	}
	return true
}
