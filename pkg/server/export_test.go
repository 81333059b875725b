package server

// ConnectionCap and ReplacementFactor are exported to the tests.
var ConnectionCap = connectionCap

const ReplacementFactor = replacementFactor
