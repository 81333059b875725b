package platformserver

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// Headers of the platform's protocol.
const (
	HeaderRequestID        = "Hornbeamway-Request-Id"
	HeaderDeadline         = "Hornbeamway-Deadline-Ms"
	HeaderSignature        = "Hornbeamway-Response-Signature"
	HeaderNotRun           = "Hornbeamway-Not-Executed"
	HeaderLeaving          = "Server-Leaving"
	HeaderRetryAfter       = "Retry-After"
	headerExpectedInstance = "Hornbeamway-Expect-Instance"
	headerLoad             = "Hornbeamway-Server-Load"
	headerInstance         = "Hornbeamway-Instance-Id"
)

const (
	// maxResponseCopyDelay is the longest time after which the copy of a response follows.
	maxResponseCopyDelay = 30 * time.Millisecond
	// maxRefusalCopyDelay is the same for refusals. It exceeds the time in which the refused request can return.
	maxRefusalCopyDelay = 400 * time.Millisecond
	// truncatedLength is the Content-Length, in bytes, of a response that is truncated. Fewer bytes are written.
	truncatedLength = 900
)

// malformedHeads are the beginnings of malformed responses. Some of them state that the request was not run, which it was.
var malformedHeads = []string{
	"HTTP/1.1 000 OK\r\nContent-Length: 9\r\n",
	"HTTP/1.1 000 OK\r\n" + HeaderNotRun + ": 1\r\nContent-Length: 9\r\n",
	"HTTP/1.1 200 OK\r\nContent Length: 9\r\n",
	"HTTP/1.1 503 Busy\r\n" + HeaderNotRun + ": 1\r\nX Blank: 1\r\nContent-Length: 9\r\n",
	"HTTP/1.1 200 OK\r\nX-Folded: 1\r\n Content-Length: 9\r\n",
	"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n",
}

// ResponseBody returns the response body of a request, which depends on the service and the request ID.
func ResponseBody(service, requestID string) string {
	text := service + " " + requestID + " "
	for len(text) < 600 {
		text += text
	}
	return text
}

// responder writes the responses to one request or health check.
type responder struct {
	server   *Server
	conn     net.Conn
	exchange Exchange
}

// writeRefusal states that a request was not run, subject to the faults f, and reports whether the connection is kept open.
func (w responder) writeRefusal(f Faults) bool {
	return w.refuse(f, http.StatusServiceUnavailable, time.Time{}, HeaderNotRun+": 1")
}

// writeHoldOff refuses a request as not run and asks for no further requests until the given time.
func (w responder) writeHoldOff(f Faults, until time.Time) bool {
	retryAfter := fmt.Sprintf("%s: %.3f", HeaderRetryAfter, time.Until(until).Seconds())
	return w.refuse(f, http.StatusServiceUnavailable, until, HeaderNotRun+": 1", retryAfter)
}

// writeMisdirected refuses a request that is addressed to another server.
func (w responder) writeMisdirected(f Faults) bool {
	return w.refuse(f, http.StatusMisdirectedRequest, time.Time{})
}

// refuse writes a refusal, and with the probability f.DuplicateRefusal a copy of it later.
func (w responder) refuse(f Faults, status int, retryAt time.Time, headers ...string) bool {
	if f.RefusalDelay > 0 {
		time.Sleep(rand.N(f.RefusalDelay))
	}
	leaving := w.server.leaving.Load()
	text := w.format(status, leaving, "", headers)
	if !w.send(text, Response{Status: status, Leaving: leaving, RetryAt: retryAt}) {
		return false
	}
	if rand.Float64() < f.DuplicateRefusal {
		// The product of two draws favours short delays.
		delay := time.Duration(rand.Float64() * rand.Float64() * float64(maxRefusalCopyDelay))
		time.AfterFunc(delay, func() { _, _ = io.WriteString(w.conn, text) })
	}
	return true
}

// writeResult writes the response to a request that has run, subject to the faults f, and reports whether the connection is
// kept open.
func (w responder) writeResult(f Faults) bool {
	id := w.exchange.RequestID
	signatureHeader := HeaderSignature + ": " + w.server.ID + "." + id
	switch draw := rand.Float64(); {
	case draw < f.DropResponse:
		return false
	case rand.Float64() < f.TruncateHead:
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s\r\nContent-Length: %d\r\n\r\n", HeaderRequestID, id,
			signatureHeader, truncatedLength)
		_, _ = io.WriteString(w.conn, head[:rand.IntN(len(head))])
		return false
	case rand.Float64() < f.MalformedHead:
		malformed := malformedHeads[rand.IntN(len(malformedHeads))]
		_, _ = fmt.Fprintf(w.conn, malformed+"%s: %s\r\n%s\r\n\r\nmalformed", HeaderRequestID, id, signatureHeader)
		return false
	case draw < f.DropResponse+f.TruncateResponse:
		_, _ = fmt.Fprintf(w.conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%s: %s\r\n%s\r\n\r\nhalf",
			truncatedLength, HeaderRequestID, id, signatureHeader)
		return false
	case draw < f.DropResponse+f.TruncateResponse+f.Unsigned:
		return w.write(200, ResponseBody(w.server.Service, id))
	case draw < f.DropResponse+f.TruncateResponse+f.Unsigned+f.Failed:
		return w.write(500, "failed", signatureHeader)
	case draw < f.DropResponse+f.TruncateResponse+f.Unsigned+f.Failed+f.DuplicateResponse:
		if !w.write(200, ResponseBody(w.server.Service, id), signatureHeader) {
			return false
		}
		time.Sleep(rand.N(maxResponseCopyDelay))
		return w.write(200, ResponseBody(w.server.Service, id), signatureHeader)
	}
	return w.write(200, ResponseBody(w.server.Service, id), signatureHeader)
}

// write writes a response and reports whether that succeeded.
func (w responder) write(status int, body string, headers ...string) bool {
	leaving := w.server.leaving.Load()
	return w.send(w.format(status, leaving, body, headers), Response{Status: status, Leaving: leaving})
}

// send tells the observer of a response and writes it. One call of Write keeps it apart from delayed copies.
func (w responder) send(text string, r Response) bool {
	w.server.observer.ResponseSent(w.server, w.exchange, r)
	_, err := io.WriteString(w.conn, text)
	return err == nil
}

// format returns the text of a response with the headers that all responses have.
func (w responder) format(status int, leaving bool, body string, headers []string) string {
	s := w.server
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: %d\r\n%s: %s\r\n%s: %d,%d,%d,%d\r\n",
		status, http.StatusText(status), len(body), headerInstance, s.ID,
		headerLoad, len(s.slots), s.queued.Load(), slotCount, int(100*max(1, s.currentFaults().Slowdown)))
	if w.exchange.RequestID != "" {
		text += HeaderRequestID + ": " + w.exchange.RequestID + "\r\n"
	}
	if leaving {
		text += HeaderLeaving + ": 1\r\n"
	}
	for _, h := range headers {
		text += h + "\r\n"
	}
	return text + "\r\n" + body
}
