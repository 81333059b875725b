// Package gateway serves callers from the backend servers of the platform: it finds the route of a request, chooses a
// server, sends the request once, or again where that is safe, and tells the caller truthfully what became of it.
package gateway

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hornbeamway/hornbeamway/pkg/balance"
)

// Dialect reads and writes the headers that callers and backend servers use.
type Dialect interface {
	// Caller reads a caller's request.
	Caller(h *fasthttp.RequestHeader) CallerHead
	// SetAttempt writes the time left and the server that must run the request, into the head for a server.
	SetAttempt(h *fasthttp.RequestHeader, left time.Duration, serverID string)
	// Answer reads a server's answer.
	Answer(h *fasthttp.ResponseHeader) Answer
	// CleanAnswer removes from an answer what concerns the gateway only.
	CleanAnswer(h *fasthttp.ResponseHeader)
	// SetRequestID names the request in an answer of the gateway's own.
	SetRequestID(h *fasthttp.ResponseHeader, id string)
}

// CallerHead is what a request says of itself.
type CallerHead struct {
	// ID is the caller's id of the request.
	ID string
	// Wait is how long the caller will wait; 0: not told.
	Wait time.Duration
	// Fault says what is wrong with the head; empty: nothing.
	Fault string
}

// Answer is what a server's answer says of itself.
type Answer struct {
	// RequestID is the id of the request that is answered; empty: not told.
	RequestID string
	// Signed answers carry the server's proof that it made them.
	Signed bool
	// NotRun says that the server did not run the request.
	NotRun bool
	// Misdirected says that the request was meant for another server and was not run.
	Misdirected bool
	// Figure is the load that the server tells; nil: none.
	Figure *balance.Figure
}
