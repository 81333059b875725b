package proxy

import (
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/hornbeamway/hornbeamway/pkg/dispatch"
	"github.com/hornbeamway/hornbeamway/pkg/ingress"
	"github.com/hornbeamway/hornbeamway/pkg/problem"
	"github.com/hornbeamway/hornbeamway/pkg/upstream"
)

// handleMalformed responds to a request that fasthttp could not parse.
func handleMalformed(ctx *fasthttp.RequestCtx, err error) {
	malformed := ingress.MalformedProblem(err)
	problem.Write(&ctx.Response, malformed)
	countProblem(malformed)
	ctx.SetConnectionClose()
	if conn, ok := ctx.Conn().(*ingress.Conn); ok {
		conn.SetLinger()
	}
}

// parsePool parses a value of headerPool, SERVICE/DATACENTRE.
func parsePool(value []byte) dispatch.PoolKey {
	service, dataCentre, _ := strings.Cut(string(value), "/")
	return dispatch.PoolKey{Service: service, DataCentre: dataCentre}
}

// chainOnClose registers f to run when the streamed body of resp is closed. It returns false if the body is not
// streamed.
func chainOnClose(resp *fasthttp.Response, f func()) bool {
	stream, ok := resp.BodyStream().(*upstream.Body)
	if ok {
		stream.OnClose(f)
	}
	return ok
}
