package balance

// Statement is what a response says about the availability of the server that sent it.
type Statement struct {
	// Leaving is true if the server is about to exit.
	Leaving bool
	// RetryAfter is the Retry-After header of a response with status 503; empty if there is none.
	RetryAfter string
}
