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

func notRun(reason problem.Reason, detail string, retry time.Duration) *problem.Problem {
	return problem.New(fasthttp.StatusServiceUnavailable, problem.NotRun, reason, detail).WithRetryAfter(retry)
}

// asProblem returns a copy of the problem in err. An error of any other kind leaves the outcome unknown.
func asProblem(err error) *problem.Problem {
	var p *problem.Problem
	if errors.As(err, &p) {
		copied := *p
		return &copied
	}
	return problem.New(fasthttp.StatusBadGateway, problem.Unknown, problem.ReasonUpstream, err.Error())
}

func countRefusal(p *problem.Problem) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`hornbeamway_gateway_refusals_total{reason=%q,outcome=%q}`, p.Reason, p.Outcome)).Inc()
}

// note describes an attempt for the log: where it went, on which figures, and how it ended.
func (c *call) note(r result) {
	choice := r.choice
	metrics.GetOrCreateCounter(fmt.Sprintf(`hornbeamway_gateway_attempts_total{service=%q,outcome="%d"}`, c.service, r.outcome)).Inc()
	if c.trace.Len() > 0 {
		c.trace.WriteByte(' ')
	}
	fmt.Fprintf(&c.trace, "[server=%s address=%s busy=%d slowness=%.2f figureAge=%dms expected=%dms result=%q",
		choice.Server.ID, choice.Server.Address, choice.Busy, choice.Slowness, choice.FigureAge.Milliseconds(),
		choice.Expected.Milliseconds(), r.detail)
	if r.figure != nil {
		fmt.Fprintf(&c.trace, " told=%d,%d,%.2f", r.figure.Running, r.figure.Waiting, r.figure.Slowness)
	}
	c.trace.WriteByte(']')
}

// finish counts the request and writes its line.
func (g *Gateway) finish(c *call) {
	took := g.Clock.Now().Sub(c.arrived)
	status := c.ctx.Response.StatusCode()
	route := ""
	if c.route != nil {
		route = c.route.Name
		metrics.GetOrCreateHistogram(fmt.Sprintf(`hornbeamway_gateway_duration_seconds{service=%q}`, c.service)).Update(took.Seconds())
	}
	metrics.GetOrCreateCounter(`hornbeamway_gateway_requests_total{service="` + c.service + `",status="` + strconv.Itoa(status) + `"}`).Inc()
	if c.route != nil && g.Observe != nil {
		g.Observe(c.route, c.service, took+c.waited, status < fasthttp.StatusInternalServerError && status != fasthttp.StatusTooManyRequests)
	}
	age, confirmed := g.State.Age()
	if !confirmed {
		age = -1 // the store has confirmed nothing yet
	}
	klog.InfoS("request", "id", c.head.ID, "route", route, "service", c.service, "status", status, "took", took,
		"left", c.deadline.Sub(c.arrived), "waited", c.waited, "config", c.version, "configAge", age, "attempts", c.trace.String())
}

// logMalformed writes a line for a request that could not be read.
func logMalformed(ctx *fasthttp.RequestCtx, p *problem.Problem, err error) {
	klog.InfoS("request not read", "caller", ctx.RemoteAddr(), "status", p.Status, "err", err)
}
