package upstream

// ReadResponseHead exports an unexported function to the tests.
var ReadResponseHead = readResponseHead
