package entryvm

import (
	"context"
	"net"
)

// ServeHealthForTest serves health checks and metrics on l until ctx ends.
func ServeHealthForTest(ctx context.Context, l net.Listener) error {
	v := vm{sockets: &sockets{health: l}}
	return v.serveHealth(ctx)
}
