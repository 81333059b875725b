package proxy

import (
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/hornbeamway/hornbeamway/pkg/dispatch"
	"github.com/hornbeamway/hornbeamway/pkg/ingress"
	"github.com/hornbeamway/hornbeamway/pkg/problem"
	"github.com/hornbeamway/hornbeamway/pkg/upstream"
)

// answerMalformed answers a request that the library could not read.
func answerMalformed(ctx *fasthttp.RequestCtx, err error) {
	answer := ingress.MalformedProblem(err)
	problem.Write(&ctx.Response, answer)
	countProblem(answer)
	ctx.SetConnectionClose()
	if conn, ok := ctx.Conn().(*ingress.Conn); ok {
		conn.Linger()
	}
}

// parsePool reads the value of headerPool: service and data centre.
func parsePool(value []byte) dispatch.PoolKey {
	service, dataCentre, _ := strings.Cut(string(value), "/")
	return dispatch.PoolKey{Service: service, DataCentre: dataCentre}
}

// chainOnClose runs f when the streamed body of resp is closed. It reports false if the body is not streamed.
func chainOnClose(resp *fasthttp.Response, f func()) bool {
	stream, ok := resp.BodyStream().(*upstream.Body)
	if ok {
		stream.OnClose(f)
	}
	return ok
}
