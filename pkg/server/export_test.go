package server

// These names export unexported ones to the tests.
var (
	ConnectionCap = connectionCap
	NewLoadProber = newLoadProber
)

const ReplacementFactor = replacementFactor
