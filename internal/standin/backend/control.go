package backend

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hornbeamway/hornbeamway/pkg/strictjson"
)

// LoadReport is the response to GET /load.
type LoadReport struct {
	Slots    int  `json:"slots"`
	Busy     int  `json:"busy"`
	Queued   int  `json:"queued"`
	Draining bool `json:"draining"`
	// AtMillis is the time of the reported load, in milliseconds since the Unix epoch.
	AtMillis int64 `json:"atMs"`
}

// handle dispatches every request by its path. Paths that are not reserved are work.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	c, _ := ctx.Conn().(*conn)
	if c != nil {
		c.probe = false
		defer func() { c.receivedBytes = 0 }()
	}
	switch string(ctx.Path()) {
	case "/load":
		s.handleProbe(ctx, c)
	case "/faults":
		s.handleFaults(ctx, c)
	case "/journal":
		writeJSON(ctx, s.Journal(string(ctx.QueryArgs().Peek("key"))))
	case "/stats":
		writeJSON(ctx, s.Stats())
	default:
		if c == nil {
			ctx.Error("not served on the control address", fasthttp.StatusNotFound)
			return
		}
		s.handleWork(ctx, c)
	}
}

// handleProbe answers GET /load. Depending on the active faults the report is outdated or false, or there is no response.
// Probes on the control address cost no slot time and are not counted.
func (s *Server) handleProbe(ctx *fasthttp.RequestCtx, c *conn) {
	f, _ := s.faults.get()
	now := s.clock.Now()
	if c != nil {
		s.stats.probes.Add(1)
		s.stats.probeBytes.Add(c.receivedBytes)
		s.slots.charge(now, probeCost)
		c.probe = true
		if f.StallProbes {
			s.holdUnanswered(c, func(f Faults) bool { return f.StallProbes })
			return
		}
	}
	writeJSON(ctx, s.loadReport(now, f))
}

// loadReport returns the load report under the faults f.
func (s *Server) loadReport(now time.Time, f Faults) LoadReport {
	if l := f.LoadFixed; l != nil {
		return LoadReport{Slots: l.Slots, Busy: l.Busy, Queued: l.Queued, Draining: l.Draining, AtMillis: now.UnixMilli()}
	}
	at := now.Add(-time.Duration(f.LoadLagMillis) * time.Millisecond)
	busy, queued := s.slots.loadAt(at)
	return LoadReport{Slots: s.options.Slots, Busy: busy, Queued: queued, Draining: f.Drain, AtMillis: at.UnixMilli()}
}

// faultsRequest is the body of POST /faults. Omitted fields keep their current values.
type faultsRequest struct {
	Faults
	// RefuseForMillis closes the listener for this time; 0 ends a refusal. It is applied once and not stored.
	RefuseForMillis *int64 `json:"refuseForMs"`
	// SilenceConnections silences all open connections except the one that carries this request. It is applied once and
	// not stored.
	SilenceConnections bool `json:"silenceConnections"`
}

// handleFaults returns the active faults; a POST request changes them first.
func (s *Server) handleFaults(ctx *fasthttp.RequestCtx, c *conn) {
	if ctx.IsPost() {
		request := faultsRequest{Faults: s.Faults()}
		err := strictjson.Decode(ctx.PostBody(), &request)
		if err == nil {
			err = s.SetFaults(request.Faults)
		}
		if err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		s.applyOneTimeFaults(request, c)
	}
	writeJSON(ctx, s.Faults())
}

// applyOneTimeFaults applies the faults of a request that are not stored.
func (s *Server) applyOneTimeFaults(request faultsRequest, c *conn) {
	if request.RefuseForMillis != nil {
		s.Refuse(time.Duration(*request.RefuseForMillis) * time.Millisecond)
	}
	if request.SilenceConnections {
		s.SilenceConnections(c)
	}
}

// holdUnanswered leaves a request unanswered until the remote side disconnects, the fault ends or the server is closed. It
// then closes the connection.
func (s *Server) holdUnanswered(c *conn, active func(Faults) bool) {
	disconnected, stop := c.watchDisconnect()
	defer stop()
	defer func() { _ = c.Close() }()
	for {
		f, changed := s.faults.get()
		if !active(f) {
			return
		}
		select {
		case <-disconnected:
			return
		case <-s.server.Done():
			return
		case <-changed:
		}
	}
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
