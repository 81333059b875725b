package entryvm

import (
	"context"
	"net"
	"time"
)

// DrainForTest stops a gateway as Run does.
func DrainForTest(g drainable, shutdownTimeout time.Duration) { drain(g, shutdownTimeout) }

// ServeHealthForTest serves health checks and metrics on l until ctx ends.
func ServeHealthForTest(ctx context.Context, l net.Listener) error {
	v := vm{sockets: &sockets{health: l}}
	return v.serveHealth(ctx)
}
