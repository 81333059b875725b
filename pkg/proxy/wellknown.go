package proxy

import (
	"encoding/json"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/hornbeamway/hornbeamway/pkg/ingress"
	"github.com/hornbeamway/hornbeamway/pkg/problem"
)

// wellKnownPrefix is the path prefix of the endpoints that entry VMs serve themselves (RFC 8615).
const wellKnownPrefix = "/.well-known/hornbeamway/"

// maxTickets is the maximum number of tickets in one response.
const maxTickets = 256

// ticketsResponse is the response body of the tickets endpoint.
type ticketsResponse struct {
	Tickets []string `json:"tickets"`
}

// serveWellKnown handles health checks and ticket requests. It reports whether the path of the request begins with
// wellKnownPrefix.
func (p *Proxy) serveWellKnown(ctx *fasthttp.RequestCtx) bool {
	name, ok := strings.CutPrefix(string(ingress.RequestPath(&ctx.Request.Header)), wellKnownPrefix)
	if !ok {
		return false
	}
	switch {
	case name == "livez":
		ctx.SetBodyString("ok\n")
	case name == "readyz":
		p.handleReadyz(ctx)
	case name == "tickets" && ctx.IsPost():
		p.handleTickets(ctx)
	default:
		p.writeProblem(ctx, nil, problem.New(fasthttp.StatusNotFound, problem.NotRun, problem.ReasonNoRoute, "no such endpoint"))
	}
	return true
}

func (p *Proxy) handleReadyz(ctx *fasthttp.RequestCtx) {
	if ok, reason := p.Ready(); !ok {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.SetBodyString(reason + "\n")
		return
	}
	ctx.SetBodyString("ok\n")
}

func (p *Proxy) handleTickets(ctx *fasthttp.RequestCtx) {
	count := ctx.QueryArgs().GetUintOrZero("count")
	response := ticketsResponse{Tickets: make([]string, 0, min(max(count, 1), maxTickets))}
	for range cap(response.Tickets) {
		ticket, err := p.Operations.Issue()
		if err != nil {
			p.writeProblem(ctx, nil, problem.New(fasthttp.StatusServiceUnavailable, problem.NotRun, problem.ReasonNotReady, err.Error()))
			return
		}
		response.Tickets = append(response.Tickets, ticket)
	}
	body, err := json.Marshal(response)
	if err != nil {
		p.writeProblem(ctx, nil, err)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
