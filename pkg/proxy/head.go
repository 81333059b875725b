package proxy

import (
	"bytes"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/hornbeamway/hornbeamway/pkg/dispatch"
	"github.com/hornbeamway/hornbeamway/pkg/problem"
	"github.com/hornbeamway/hornbeamway/pkg/upstream"
)

// checkHead refuses heads that two servers could read differently.
func checkHead(ctx *fasthttp.RequestCtx) error {
	h := &ctx.Request.Header
	lengths, encodings := 0, 0
	for line := range bytes.SplitSeq(h.RawHeaders(), []byte("\n")) {
		name, _, ok := bytes.Cut(line, []byte(":"))
		if !ok {
			continue
		}
		switch strings.ToLower(string(name)) {
		case "content-length":
			lengths++
		case "transfer-encoding":
			encodings++
		}
	}
	if lengths > 1 || encodings > 1 || lengths > 0 && encodings > 0 {
		return problem.New(fasthttp.StatusBadRequest, problem.NotRun, problem.ReasonBadRequest, "ambiguous body length")
	}
	if len(h.Host()) == 0 && h.IsHTTP11() {
		return problem.New(fasthttp.StatusBadRequest, problem.NotRun, problem.ReasonBadRequest, "missing Host header")
	}
	return nil
}

// answerMalformed answers a request that the library could not parse.
func answerMalformed(ctx *fasthttp.RequestCtx, err error) {
	status, detail := fasthttp.StatusBadRequest, "malformed request"
	var small *fasthttp.ErrSmallBuffer
	if errors.As(err, &small) {
		status, detail = fasthttp.StatusRequestHeaderFieldsTooLarge, "request head is too large"
	}
	answer := problem.New(status, problem.NotRun, problem.ReasonBadRequest, detail)
	problem.Write(&ctx.Response, answer)
	countProblem(answer)
	ctx.SetConnectionClose()
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
