package platformserver

import "time"

// Exchange identifies a request or a health check that has reached a server.
type Exchange struct {
	// RequestID is the id that the request states. Health checks state none.
	RequestID string
	// ConnRequestID is the id of the latest request on the same connection, this one included, or empty. It identifies the
	// caller of a health check.
	ConnRequestID string
	// HealthCheck is set for health checks; Misdirected for requests that are addressed to another server.
	HealthCheck, Misdirected bool
}

// Response describes a response that a server sends. Later copies of it are not described again.
type Response struct {
	Status int
	// Leaving is set if the response states that the server is leaving.
	Leaving bool
	// RetryAt is the time until which Retry-After asks for no further requests, or zero.
	RetryAt time.Time
}

// Observer is told what happens at a server. The methods are called concurrently.
type Observer interface {
	// RequestArrived is called when the head of a request or a health check has arrived.
	RequestArrived(s *Server, e Exchange)
	// RequestRan is called when a request starts to run.
	RequestRan(s *Server, requestID string)
	// ResponseSent is called right before a response is written.
	ResponseSent(s *Server, e Exchange, r Response)
}

// runObserver observes only the requests that run.
type runObserver func(s *Server, requestID string)

// RequestArrived implements Observer.
func (runObserver) RequestArrived(*Server, Exchange) {}

// RequestRan implements Observer.
func (o runObserver) RequestRan(s *Server, requestID string) { o(s, requestID) }

// ResponseSent implements Observer.
func (runObserver) ResponseSent(*Server, Exchange, Response) {}
