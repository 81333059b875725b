package gateway

import (
	"fmt"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"k8s.io/klog/v2"

	"github.com/hornbeamway/hornbeamway/pkg/problem"
)

// notRun returns a refusal with status 503, which states that the request was not run, and a Retry-After.
func notRun(reason problem.Reason, detail string, retryAfter time.Duration) *problem.Problem {
	return problem.New(fasthttp.StatusServiceUnavailable, problem.NotRun, reason, detail).WithRetryAfter(retryAfter)
}

// asProblem returns a copy of the problem in err. Any other error becomes a problem with an unknown outcome.
func asProblem(err error) *problem.Problem {
	var p *problem.Problem
	if errors.As(err, &p) {
		copied := *p
		return &copied
	}
	return problem.New(fasthttp.StatusBadGateway, problem.Unknown, problem.ReasonUpstream, err.Error())
}

// countRefusal counts a problem in the metrics.
func countRefusal(p *problem.Problem) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`hornbeamway_gateway_refusals_total{reason=%q,outcome=%q}`, p.Reason, p.Outcome)).Inc()
}

// countForeignResponse counts a response of a server that names another request, or none.
func countForeignResponse(requestID string) {
	named := "other"
	if requestID == "" {
		named = "none"
	}
	metrics.GetOrCreateCounter(`hornbeamway_gateway_foreign_responses_total{named="` + named + `"}`).Inc()
}

// recordAttempt counts an attempt and adds it to the trace of the call: its server, the load on which the choice was based, and
// its result.
func (c *call) recordAttempt(r result) {
	choice := r.choice
	metrics.GetOrCreateCounter(fmt.Sprintf(`hornbeamway_gateway_attempts_total{service=%q,outcome="%d"}`,
		c.service, r.outcome)).Inc()
	if c.trace.Len() > 0 {
		c.trace.WriteByte(' ')
	}
	fmt.Fprintf(&c.trace, "[server=%s address=%s busy=%d slowdown=%.2f reportAge=%dms expected=%dms result=%q",
		choice.Server.ID, choice.Server.Address, choice.InFlight, choice.Slowdown, choice.ReportAge.Milliseconds(),
		choice.Expected.Milliseconds(), r.detail)
	if r.report != nil {
		fmt.Fprintf(&c.trace, " loadReport=%d,%d,%.2f", r.report.Running, r.report.Waiting, r.report.Slowdown)
	}
	c.trace.WriteByte(']')
}

// recordRequest updates the metrics for a request and writes its log line.
func (g *Gateway) recordRequest(c *call) {
	took := g.Clock.Now().Sub(c.arrivedAt)
	status := c.ctx.Response.StatusCode()
	route := ""
	if c.route != nil {
		route = c.route.Name
		metrics.GetOrCreateHistogram(fmt.Sprintf(`hornbeamway_gateway_duration_seconds{service=%q}`, c.service)).Update(took.Seconds())
	}
	metrics.GetOrCreateCounter(`hornbeamway_gateway_requests_total{service="` + c.service +
		`",status="` + strconv.Itoa(status) + `"}`).Inc()
	if c.route != nil && g.Observe != nil {
		g.Observe(c.route, c.service, took+c.priorWait,
			status < fasthttp.StatusInternalServerError && status != fasthttp.StatusTooManyRequests)
	}
	age, confirmed := g.State.Age()
	if !confirmed {
		age = -1 // the store has not confirmed a configuration yet
	}
	klog.InfoS("request", "id", c.head.ID, "route", route, "service", c.service, "status", status, "took", took,
		"left", c.deadline.Sub(c.arrivedAt), "waited", c.priorWait, "config", c.version, "configAge", age, "attempts", c.trace.String())
}

// logMalformed logs a request that could not be read.
func logMalformed(ctx *fasthttp.RequestCtx, p *problem.Problem, err error) {
	klog.InfoS("failed to read a request", "caller", ctx.RemoteAddr(), "status", p.Status, "err", err)
}
