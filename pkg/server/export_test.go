package server

// ConnectionCap and ReplacementFactor export unexported names to the tests.
var ConnectionCap = connectionCap

const ReplacementFactor = replacementFactor
