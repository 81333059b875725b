// Package operation makes non-idempotent operations run at most once. A key is either a ticket, which only the VM
// incarnation that issued it runs, or a caller's own key, which the VM that holds the lease of the key's range runs.
// The operation memory (Ledger) remembers every key that was started and, within bounds, its answer.
package operation

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Bounds of the package.
const (
	// RangeCount is the number of key ranges that own keys are hashed into.
	RangeCount = 128
	// TicketLifetime is the time for which a ticket may start an operation.
	TicketLifetime = 5 * time.Minute
	// MemoryWindow is the time for which a finished key is remembered.
	MemoryWindow = 5 * time.Minute
	// MaxDeadline is the longest time that an operation may take from its start.
	MaxDeadline = 30 * time.Second
	// LeaseDuration is the validity of a lease, counted from before its renewal, or the question to all VMs, was sent.
	LeaseDuration = 8 * time.Second
	// RenewInterval is the time between two renewals. Every VM reads every renewal, so a shorter one costs all VMs bytes;
	// with this one, a lease has at least LeaseDuration - RenewInterval = 4 s left while the log answers.
	RenewInterval = 4 * time.Second
	// TakeoverDelay is the silence of an owner after which another VM claims its ranges.
	TakeoverDelay = LeaseDuration + 4*time.Second
	// UncleanWindow is the time after an unclean takeover during which unfamiliar keys are not run. The previous owner
	// may write until its lease ends, which can be one lease after the claim, and the backend server may act on that
	// write until the operation's deadline, so both are added to the memory window.
	UncleanWindow = MemoryWindow + LeaseDuration + MaxDeadline
	// maxKeyLength is the longest own key in bytes.
	maxKeyLength = 128
)

// Fingerprint returns the hash that tells whether two requests with one key are the same request.
func Fingerprint(method, path, body []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range [][]byte{method, path, body} {
		// The length keeps a byte from moving between two parts unnoticed. Write of a Digest never fails.
		n := uint64(len(part))
		_, _ = d.Write([]byte{byte(n), byte(n >> 8), byte(n >> 16), byte(n >> 24), byte(n >> 32)})
		_, _ = d.Write(part)
	}
	return d.Sum64()
}

// RangeOf returns the key range of an own key.
func RangeOf(key string) int { return int(xxhash.Sum64String(key) % RangeCount) }

// ValidKey reports whether key is 1 to 128 visible ASCII characters, or has the form of a ticket.
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
