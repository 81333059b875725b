package gateway

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hornbeamway/hornbeamway/pkg/balance"
)

// Dialect reads and writes the headers that are specific to callers and backend servers.
type Dialect interface {
	// Caller reads the head of a caller's request.
	Caller(h *fasthttp.RequestHeader) CallerHead
	// SetAttempt sets the headers of a request to a server: the time left until the deadline, and the id of the only server that
	// may run the request.
	SetAttempt(h *fasthttp.RequestHeader, left time.Duration, serverID string)
	// Response reads the head of a server's response.
	Response(h *fasthttp.ResponseHeader) ResponseHead
	// CleanResponse removes the headers of a response that are meant for the gateway only.
	CleanResponse(h *fasthttp.ResponseHeader)
	// SetRequestID sets the request id in a response that the gateway generates.
	SetRequestID(h *fasthttp.ResponseHeader, id string)
}

// CallerHead holds the values of a caller's request head.
type CallerHead struct {
	// ID is the request id that the caller has set.
	ID string
	// Wait is the time for which the caller waits for the response; 0 if it is not stated.
	Wait time.Duration
	// Fault describes an invalid head; empty if the head is valid.
	Fault string
}

// ResponseHead holds the values of a server's response head.
type ResponseHead struct {
	// RequestID is the id of the request to which the server responds; empty if it is not stated.
	RequestID string
	// Signed is true if the response carries the server's signature.
	Signed bool
	// NotRun is true if the server states that it did not run the request.
	NotRun bool
	// Misdirected is true if the request was intended for another server and was not run.
	Misdirected bool
	// LoadReport is the server's load report; nil if there is none.
	LoadReport *balance.LoadReport
	// ServerID is the id of the server that sent the response; empty if it is not stated.
	ServerID string
	// Statement is what the server says about its availability.
	Statement balance.Statement
}
