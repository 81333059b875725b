package balance

import (
	"time"

	"github.com/hornbeamway/hornbeamway/pkg/directory"
)

// Request describes a request for which a server is selected.
type Request struct {
	Service string
	// Work is the time that a server usually works on such a request. WorkUnknown is true if requests were refused because of this
	// estimate and no response has confirmed it since.
	Work        time.Duration
	WorkUnknown bool
	// Objective is the target latency, within which a response has its full value.
	Objective time.Duration
	// NonIdempotent is true if the request cannot be sent again after a failure.
	NonIdempotent bool
	// MaxLatency is the longest acceptable response time on a server with a free slot, and MaxQueueLatency that on a server where
	// the request waits for a slot; 0 means no limit. FreeSlots is the number of free slots that a server must have, or all of its
	// slots if it has fewer. Servers outside these limits are chosen last.
	MaxLatency, MaxQueueLatency time.Duration
	FreeSlots                   int
	// OwnRegion excludes the servers of other regions from those within the limits.
	OwnRegion bool
	// Bytes is the expected size of the request and its response together.
	Bytes float64
	// Exclude lists the servers that this request has already been sent to.
	Exclude []ServerKey
	// Connected reports whether an open connection to the address can be used. If it is nil, no cost is added for connecting.
	Connected func(address string) bool
}

// Choice is a selected server.
type Choice struct {
	Server *directory.Server
	Key    ServerKey
	// Expected is the expected response time.
	Expected time.Duration
	// WithinLimits is true if the server is within the limits of the request.
	WithinLimits bool
	// Trial is true if the server is outside the limits only because of an assumption about its load or the work, and may get the
	// request so that its response corrects that assumption.
	Trial bool
	// RoundTrip is the assumed network round-trip time, which is part of Expected.
	RoundTrip time.Duration
	// InFlight is the number of in-flight requests on the server, without this one.
	InFlight int
	// Slowdown is the expected slowdown of the server, and ReportAge the age of its last load report; negative if there is
	// none.
	Slowdown  float64
	ReportAge time.Duration
	// HeldOff is set if there is no server because of holds alone: the time until the first of them ends.
	HeldOff time.Duration
}
